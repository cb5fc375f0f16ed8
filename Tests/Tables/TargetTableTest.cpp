#include "Tables/TargetTable.h"
#include "Decisions/StageRequirements.h"
#include "Settings/Configuration.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetTableTest);
    CPPUNIT_TEST(releasedSlotIsGrantedToQueuedCall);
    CPPUNIT_TEST(withdrawnTicketIsNotGranted);
    CPPUNIT_TEST(callThatCannotMeetItsDeadlineIsNotQueued);
    CPPUNIT_TEST(queuedCallThatCannotMeetItsDeadlineIsRefused);
    CPPUNIT_TEST(outOfServicePoolIsDistinguishedFromUnknownPool);
    CPPUNIT_TEST(targetsKeepTheirStateAcrossConfigurationChanges);
    CPPUNIT_TEST(predictedFinishAvoidsTheSlowTarget);
    CPPUNIT_TEST_SUITE_END();

    Clock::TimePoint m_now{seconds(1'000)};
    TargetTable m_table{{"vm", "north", {"vm"}}, 1};
    Configuration m_configuration;

    StageRequirements requirements(milliseconds time = seconds(5)) const
    {
        StageRequirements it;
        it.organisation = "mill";
        it.deadline = m_now + time;
        return it;
    }

    void addTarget(const std::string &name, std::size_t slots)
    {
        PoolSettings &pool = m_configuration.pools["t/p"];
        pool.dialect = "service";
        pool.targets.push_back({name, {"127.0.0.1", static_cast<std::uint16_t>(9'000 + pool.targets.size())}, "north", slots, slots});
        m_table.applyConfiguration(m_configuration);
        m_table.applyReport("t/p", name, {"a", true, 0, 0}, m_now);
    }

    std::optional<Slot> acquireSlot(TargetTable::GrantHandler handler = {})
    {
        const TargetTable::AcquireResult acquired = m_table.acquire("t/p", requirements(), m_now, std::move(handler));
        const Slot *slot = std::get_if<Slot>(&acquired);
        return slot == nullptr ? std::nullopt : std::optional<Slot>(*slot);
    }

public:
    void releasedSlotIsGrantedToQueuedCall()
    {
        addTarget("a", 1);
        const std::optional<Slot> first = acquireSlot();
        CPPUNIT_ASSERT(first);
        std::optional<Slot> granted;
        CPPUNIT_ASSERT(!acquireSlot([&](TargetTable::GrantResult it) { granted = std::get<Slot>(std::move(it)); }));
        CPPUNIT_ASSERT(!granted);
        m_table.release(*first, StageAttemptOutcome::Answered, m_now + milliseconds(10));
        CPPUNIT_ASSERT(granted && granted->target == "a");
    }

    void withdrawnTicketIsNotGranted()
    {
        addTarget("a", 1);
        const std::optional<Slot> first = acquireSlot();
        bool granted = false;
        const TargetTable::AcquireResult acquired
            = m_table.acquire("t/p", requirements(), m_now, [&](const TargetTable::GrantResult &) { granted = true; });
        CPPUNIT_ASSERT(m_table.withdraw("t/p", std::get<TargetTable::Ticket>(acquired)));
        m_table.release(*first, StageAttemptOutcome::Answered, m_now + milliseconds(10));
        CPPUNIT_ASSERT(!granted);
        CPPUNIT_ASSERT(!m_table.withdraw("t/p", std::get<TargetTable::Ticket>(acquired)));
    }

    void callThatCannotMeetItsDeadlineIsNotQueued()
    {
        addTarget("a", 1);
        std::optional<Slot> slot = acquireSlot();
        m_table.release(*slot, StageAttemptOutcome::Answered, m_now + seconds(2));
        slot = acquireSlot();
        for (int it = 0; it < 2; ++it) {
            CPPUNIT_ASSERT(std::holds_alternative<TargetTable::Ticket>(
                m_table.acquire("t/p", requirements(seconds(60)), m_now, [](const TargetTable::GrantResult &) {})));
        }
        const TargetTable::AcquireResult refused
            = m_table.acquire("t/p", requirements(seconds(3)), m_now, [](const TargetTable::GrantResult &) {});
        CPPUNIT_ASSERT(std::get<RefusalCause>(refused) == RefusalCause::Overloaded);
    }

    void queuedCallThatCannotMeetItsDeadlineIsRefused()
    {
        addTarget("a", 1);
        std::optional<Slot> slot = acquireSlot();
        m_table.release(*slot, StageAttemptOutcome::Answered, m_now + seconds(1));
        slot = acquireSlot();
        std::optional<TargetTable::GrantResult> result;
        const TargetTable::AcquireResult acquired
            = m_table.acquire("t/p", requirements(seconds(3)), m_now, [&](TargetTable::GrantResult it) { result = std::move(it); });
        CPPUNIT_ASSERT(std::holds_alternative<TargetTable::Ticket>(acquired));
        m_table.release(*slot, StageAttemptOutcome::Answered, m_now + milliseconds(2'500));
        CPPUNIT_ASSERT(result && std::get<RefusalCause>(*result) == RefusalCause::Overloaded);
    }

    void outOfServicePoolIsDistinguishedFromUnknownPool()
    {
        addTarget("a", 1);
        m_configuration.targetsOut.insert("a");
        m_table.applyConfiguration(m_configuration);
        CPPUNIT_ASSERT(std::get<RefusalCause>(m_table.acquire("t/p", requirements(), m_now, {})) == RefusalCause::DataCentreOut);
        CPPUNIT_ASSERT(std::get<RefusalCause>(m_table.acquire("t/none", requirements(), m_now, {})) == RefusalCause::NoTarget);
        CPPUNIT_ASSERT(m_table.usablePools(m_now).empty());
    }

    void targetsKeepTheirStateAcrossConfigurationChanges()
    {
        addTarget("a", 4);
        const std::optional<Slot> slot = acquireSlot();
        addTarget("b", 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_table.rows().front().outstanding);
        m_configuration.pools.clear();
        m_table.applyConfiguration(m_configuration);
        m_table.release(*slot, StageAttemptOutcome::Answered, m_now);
        CPPUNIT_ASSERT(m_table.rows().empty());
    }

    void predictedFinishAvoidsTheSlowTarget()
    {
        addTarget("fast", 8);
        addTarget("slow", 8);
        int slow = 0;
        for (int it = 0; it < 200; ++it) {
            const std::optional<Slot> slot = acquireSlot();
            const bool isSlow = slot->target == "slow";
            slow += isSlow ? 1 : 0;
            m_table.release(*slot, StageAttemptOutcome::Answered, m_now + milliseconds(isSlow ? 80 : 10));
        }
        CPPUNIT_ASSERT(slow < 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTableTest);

} // namespace Guavalock

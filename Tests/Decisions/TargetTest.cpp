#include "Decisions/ColdShare.h"
#include "Decisions/ProbeRateLimiter.h"
#include "Decisions/SlowStart.h"
#include "Decisions/TargetState.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetTest);
    CPPUNIT_TEST(coldSharesAddUpToTheSlots);
    CPPUNIT_TEST(unknownTargetHasNoCapacityUntilItReports);
    CPPUNIT_TEST(coldLimitDoesNotGrowWithSuccesses);
    CPPUNIT_TEST(reportedCallsCountWhileCold);
    CPPUNIT_TEST(targetThatTurnsColdIsProbedBeforeUse);
    CPPUNIT_TEST(warmLimitDoublesInSlowStart);
    CPPUNIT_TEST(newIncarnationRestartsSlowStart);
    CPPUNIT_TEST(connectionFailureMakesTargetUnknownAndSecondDelaysProbes);
    CPPUNIT_TEST(outOfServiceTargetHasNoCapacity);
    CPPUNIT_TEST(suspectsDoNotShareATarget);
    CPPUNIT_TEST(probeRateIsLimited);
    CPPUNIT_TEST_SUITE_END();

    Clock::TimePoint m_now{seconds(100)};

    static TargetState makeState(std::size_t cold, std::size_t warm)
    {
        TargetState state;
        state.setShares(cold, warm, 2 * cold);
        return state;
    }

public:
    void coldSharesAddUpToTheSlots()
    {
        for (const std::size_t senders : {1, 2, 8, 66, 330}) {
            std::vector<std::string> daemons;
            for (std::size_t it = 0; it < senders; ++it) {
                daemons.push_back("vm-" + std::to_string(it));
            }
            for (const std::size_t slots : {1, 2, 7, 64, 100}) {
                std::size_t total = 0;
                for (const std::string &it : daemons) {
                    total += ColdShare::of("engine-4", slots, it, daemons);
                }
                CPPUNIT_ASSERT_EQUAL(slots, total);
            }
        }
    }

    void unknownTargetHasNoCapacityUntilItReports()
    {
        TargetState state = makeState(2, 8);
        CPPUNIT_ASSERT(!state.hasCapacity(false, m_now));
        CPPUNIT_ASSERT(state.potentiallyUsable(m_now));
        CPPUNIT_ASSERT(state.probeDue(m_now, seconds(2)));
        state.applyReport({"a", false, 0, 0}, m_now);
        CPPUNIT_ASSERT(state.hasCapacity(false, m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), state.limit());
    }

    void coldLimitDoesNotGrowWithSuccesses()
    {
        TargetState state = makeState(2, 8);
        state.applyReport({"a", false, 0, 0}, m_now);
        for (int it = 0; it < 50; ++it) {
            state.recordDispatch(false);
            state.recordEnd(StageAttemptOutcome::Answered, false, milliseconds(5), m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), state.limit());
    }

    void reportedCallsCountWhileCold()
    {
        TargetState state = makeState(1, 8);
        state.applyReport({"a", false, 2, 0}, m_now);
        CPPUNIT_ASSERT(!state.hasCapacity(false, m_now));
        state.applyReport({"a", false, 1, 0}, m_now);
        CPPUNIT_ASSERT(state.hasCapacity(false, m_now));
    }

    void targetThatTurnsColdIsProbedBeforeUse()
    {
        TargetState state = makeState(1, 8);
        state.applyReport({"a", true, 0, 0}, m_now);
        state.applyReport({"a", false, 0, 0}, m_now);
        CPPUNIT_ASSERT(!state.hasCapacity(false, m_now + milliseconds(50)));
        CPPUNIT_ASSERT(!state.hasCapacity(false, m_now + milliseconds(500)));
        CPPUNIT_ASSERT(state.probeDue(m_now + milliseconds(100), seconds(2)));
        state.applyReport({"a", false, 0, 0}, m_now + milliseconds(150));
        CPPUNIT_ASSERT(state.hasCapacity(false, m_now + milliseconds(150)));
    }

    void warmLimitDoublesInSlowStart()
    {
        TargetState state = makeState(1, 8);
        state.applyReport({"a", true, 0, 0}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.limit());
        for (const std::size_t expected : {2, 4, 8, 8}) {
            const std::size_t calls = state.limit();
            for (std::size_t it = 0; it < calls; ++it) {
                state.recordDispatch(false);
                state.recordEnd(StageAttemptOutcome::Answered, false, milliseconds(5), m_now);
            }
            CPPUNIT_ASSERT_EQUAL(expected, state.limit());
        }
    }

    void newIncarnationRestartsSlowStart()
    {
        TargetState state = makeState(1, 8);
        state.applyReport({"a", true, 0, 0}, m_now);
        for (int it = 0; it < 20; ++it) {
            state.recordDispatch(false);
            state.recordEnd(StageAttemptOutcome::Answered, false, milliseconds(5), m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), state.limit());
        state.applyReport({"a", true, 3, 0}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), state.limit());
        state.applyReport({"b", true, 0, 0}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.limit());
    }

    void connectionFailureMakesTargetUnknownAndSecondDelaysProbes()
    {
        TargetState state = makeState(1, 8);
        state.applyReport({"a", true, 0, 0}, m_now);
        state.recordDispatch(false);
        state.recordEnd(StageAttemptOutcome::Lost, false, milliseconds(5), m_now);
        CPPUNIT_ASSERT(state.warmth() == TargetState::Warmth::Unknown);
        CPPUNIT_ASSERT(!state.usable(m_now));
        CPPUNIT_ASSERT(state.probeDue(m_now, seconds(2)));
        state.probeFailed(m_now);
        CPPUNIT_ASSERT(!state.probeDue(m_now, seconds(2)));
        CPPUNIT_ASSERT(!state.potentiallyUsable(m_now));
        CPPUNIT_ASSERT(state.probeDue(m_now + seconds(6), seconds(2)));
    }

    void outOfServiceTargetHasNoCapacity()
    {
        TargetState state = makeState(1, 8);
        state.applyReport({"a", true, 0, 0}, m_now);
        state.setInService(false);
        CPPUNIT_ASSERT(!state.hasCapacity(false, m_now));
        CPPUNIT_ASSERT(!state.potentiallyUsable(m_now));
    }

    void suspectsDoNotShareATarget()
    {
        TargetState state = makeState(4, 8);
        state.applyReport({"a", true, 0, 0}, m_now);
        state.recordDispatch(true);
        CPPUNIT_ASSERT(!state.hasCapacity(true, m_now));
        CPPUNIT_ASSERT(state.hasCapacity(false, m_now));
        state.recordEnd(StageAttemptOutcome::Answered, true, milliseconds(5), m_now);
        CPPUNIT_ASSERT(state.hasCapacity(true, m_now));
    }

    void probeRateIsLimited()
    {
        ProbeRateLimiter plan(8.0, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), plan.take(840, m_now));
        std::size_t total = 0;
        for (int it = 1; it <= 200; ++it) {
            total += plan.take(840, m_now + it * milliseconds(50));
        }
        CPPUNIT_ASSERT(total >= 78 && total <= 82);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTest);

} // namespace Guavalock

#include "Decisions/ClaimLedger.h"
#include "Decisions/ConfigurationTree.h"
#include "Decisions/PoisonLedger.h"
#include "Flow/PipelineAnswer.h"
#include "Tables/KeyTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::seconds;

class LogStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogStateTest);
    CPPUNIT_TEST(oneOfTwoRacingChangesWins);
    CPPUNIT_TEST(olderOffsetsNeverRevert);
    CPPUNIT_TEST(subtreesDoNotDisturbEachOther);
    CPPUNIT_TEST(firstClaimWinsForEver);
    CPPUNIT_TEST(oldKeysAreRefusedAndNotClaimedAnew);
    CPPUNIT_TEST(onlyTheHolderReleases);
    CPPUNIT_TEST(abandonedClaimThatWinsIsReleased);
    CPPUNIT_TEST(releasingKeyIsNotRunUntilTheReleaseIsRead);
    CPPUNIT_TEST(resendGetsTheStoredAnswer);
    CPPUNIT_TEST(secondDeathQuarantines);
    CPPUNIT_TEST_SUITE_END();

    using Verdict = ClaimLedger::Verdict;
    using Standing = KeyTable::Standing;

    static constexpr seconds life{3600};
    Clock::WallTime m_wall{seconds(1'700'000'000)};

    static ConfigurationRecord change(const std::string &path, std::uint64_t expected, const std::string &value)
    {
        return {"id", path, expected, value, "test"};
    }

    ClaimLedger::Claim claim(const std::string &id, const std::string &key) const
    {
        return {id, key, "vm", m_wall};
    }

    static std::shared_ptr<const PipelineAnswer> refusedNotRun()
    {
        auto answer = std::make_shared<PipelineAnswer>();
        answer->refusal = Refusal::of(ResultCode::NoTarget, RunState::No, "none");
        return answer;
    }

    static Standing begin(KeyTable &table, const std::string &key, const std::string &claimId)
    {
        std::shared_ptr<const PipelineAnswer> kept;
        return table.begin(key, claimId, {}, kept);
    }

public:
    void oneOfTwoRacingChangesWins()
    {
        ConfigurationTree tree;
        CPPUNIT_ASSERT(tree.apply(change("organisations/mill", 0, "weight: 1"), 4) == ConfigurationTree::Verdict::Accepted);
        CPPUNIT_ASSERT(tree.apply(change("organisations/mill", 0, "weight: 2"), 5) == ConfigurationTree::Verdict::VersionConflict);
        CPPUNIT_ASSERT_EQUAL(std::string("weight: 1"), tree.documents().at("organisations/mill"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), tree.version("organisations/mill"));
    }

    void olderOffsetsNeverRevert()
    {
        ConfigurationTree tree;
        tree.apply(change("organisations/mill", 0, "weight: 1"), 4);
        tree.apply(change("organisations/mill", 5, "weight: 2"), 6);
        CPPUNIT_ASSERT(tree.apply(change("organisations/mill", 0, "weight: 1"), 4) == ConfigurationTree::Verdict::AlreadyApplied);
        CPPUNIT_ASSERT_EQUAL(std::string("weight: 2"), tree.documents().at("organisations/mill"));
        tree.advanceTo(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), tree.nextOffset());
    }

    void subtreesDoNotDisturbEachOther()
    {
        ConfigurationTree tree;
        tree.apply(change("teams/a/pools/x", 0, "1"), 0);
        CPPUNIT_ASSERT(tree.apply(change("teams/b/pools/x", 0, "2"), 1) == ConfigurationTree::Verdict::Accepted);
        CPPUNIT_ASSERT(tree.apply(change("teams/a/pipelines/y", 1, "3"), 2) == ConfigurationTree::Verdict::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), tree.version("teams/a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), tree.version("teams/b"));
    }

    void firstClaimWinsForEver()
    {
        ClaimLedger ledger(life);
        CPPUNIT_ASSERT(ledger.apply(claim("c1", "k"), m_wall) == Verdict::Won);
        CPPUNIT_ASSERT(ledger.apply(claim("c2", "k"), m_wall + seconds(5)) == Verdict::Lost);
        CPPUNIT_ASSERT(ledger.apply(claim("c1", "k"), m_wall + seconds(9)) == Verdict::Won);
    }

    void oldKeysAreRefusedAndNotClaimedAnew()
    {
        ClaimLedger ledger(life);
        CPPUNIT_ASSERT(ledger.apply(claim("c1", "k"), m_wall + seconds(3599)) == Verdict::Won);
        CPPUNIT_ASSERT(ledger.apply(claim("c2", "k"), m_wall + seconds(3601)) == Verdict::Expired);
        CPPUNIT_ASSERT(ledger.apply(claim("c3", "k"), m_wall + seconds(8000)) == Verdict::Expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger.size());
    }

    void onlyTheHolderReleases()
    {
        ClaimLedger ledger(life);
        ledger.apply(claim("c1", "k"), m_wall);
        ledger.release("k", "c2");
        CPPUNIT_ASSERT(ledger.holder("k") != nullptr);
        ledger.release("k", "c1");
        CPPUNIT_ASSERT(ledger.holder("k") == nullptr);
        CPPUNIT_ASSERT(ledger.apply(claim("c3", "k"), m_wall + seconds(1)) == Verdict::Won);
        // The forgotten entry of the released claim must not remove the new one.
        ledger.apply(claim("c4", "other"), m_wall + seconds(3600));
        CPPUNIT_ASSERT(ledger.holder("k") != nullptr);
    }

    void abandonedClaimThatWinsIsReleased()
    {
        KeyTable table(life);
        CPPUNIT_ASSERT(begin(table, "k", "c1") == Standing::Free);
        CPPUNIT_ASSERT(!table.abandon("k", false));
        CPPUNIT_ASSERT(begin(table, "k", "c2") == Standing::InProgress);
        CPPUNIT_ASSERT(table.apply(claim("c1", "k"), m_wall));
        CPPUNIT_ASSERT(begin(table, "k", "c2") == Standing::InProgress);
        table.applyRelease("k", "c1");
        CPPUNIT_ASSERT(begin(table, "k", "c2") == Standing::Free);
    }

    void releasingKeyIsNotRunUntilTheReleaseIsRead()
    {
        KeyTable table(life);
        begin(table, "k", "c1");
        CPPUNIT_ASSERT(!table.apply(claim("c1", "k"), m_wall));
        CPPUNIT_ASSERT(table.finished("k", refusedNotRun()) == std::optional<std::string>("c1"));
        CPPUNIT_ASSERT(begin(table, "k", "c2") == Standing::InProgress);
        table.applyRelease("k", "c1");
        CPPUNIT_ASSERT(begin(table, "k", "c2") == Standing::Free);
    }

    void resendGetsTheStoredAnswer()
    {
        KeyTable table(life);
        begin(table, "k", "c1");
        table.apply(claim("c1", "k"), m_wall);
        CPPUNIT_ASSERT(begin(table, "k", "c2") == Standing::InProgress);
        auto answer = std::make_shared<PipelineAnswer>();
        answer->output = boost::json::object{{"receipt", "r1"}};
        CPPUNIT_ASSERT(!table.finished("k", answer));
        CPPUNIT_ASSERT(begin(table, "k", "c3") == Standing::Answered);
        KeyTable elsewhere(life);
        elsewhere.apply(claim("c1", "k"), m_wall);
        CPPUNIT_ASSERT(begin(elsewhere, "k", "c4") == Standing::Elsewhere);
    }

    void secondDeathQuarantines()
    {
        const Clock::TimePoint now{seconds(50)};
        PoisonLedger ledger(seconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger.died(7, now));
        CPPUNIT_ASSERT(ledger.suspect(7, now) && !ledger.quarantined(7, now));
        ledger.learned(7, 2, now);
        CPPUNIT_ASSERT(ledger.quarantined(7, now));
        CPPUNIT_ASSERT(!ledger.quarantined(7, now + seconds(601)));
        ledger.died(8, now);
        ledger.cleared(8);
        CPPUNIT_ASSERT(!ledger.suspect(8, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStateTest);

} // namespace Guavalock

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
    CPPUNIT_TEST(firstOfConflictingChangesWins);
    CPPUNIT_TEST(olderOffsetsAreIgnored);
    CPPUNIT_TEST(subtreeVersionsAreIndependent);
    CPPUNIT_TEST(firstClaimWins);
    CPPUNIT_TEST(expiredKeysCannotBeClaimed);
    CPPUNIT_TEST(onlyTheHolderCanRelease);
    CPPUNIT_TEST(abandonedClaimThatWinsIsReleased);
    CPPUNIT_TEST(keyIsInProgressUntilItsReleaseIsRead);
    CPPUNIT_TEST(repeatedRequestGetsTheStoredAnswer);
    CPPUNIT_TEST(secondDeathQuarantinesTheRequest);
    CPPUNIT_TEST_SUITE_END();

    using Verdict = ClaimLedger::Verdict;
    using Standing = KeyTable::Standing;

    static constexpr seconds keyLifetime{3600};
    Clock::WallTime m_wall{seconds(1'700'000'000)};

    static ConfigurationRecord makeChange(const std::string &path, std::uint64_t expected, const std::string &value)
    {
        return {"id", path, expected, value, "test"};
    }

    ClaimLedger::Claim makeClaim(const std::string &id, const std::string &key) const
    {
        return {id, key, "vm", m_wall};
    }

    static std::shared_ptr<const PipelineAnswer> makeNotRunRefusal()
    {
        auto answer = std::make_shared<PipelineAnswer>();
        answer->refusal = Refusal::of(ResultCode::NoTarget, RunState::No, "none");
        return answer;
    }

    static Standing beginClaim(KeyTable &table, const std::string &key, const std::string &claimId)
    {
        std::shared_ptr<const PipelineAnswer> storedAnswer;
        return table.begin(key, claimId, {}, storedAnswer);
    }

public:
    void firstOfConflictingChangesWins()
    {
        ConfigurationTree tree;
        CPPUNIT_ASSERT(tree.apply(makeChange("organisations/mill", 0, "weight: 1"), 4) == ConfigurationTree::Verdict::Accepted);
        CPPUNIT_ASSERT(tree.apply(makeChange("organisations/mill", 0, "weight: 2"), 5) == ConfigurationTree::Verdict::VersionConflict);
        CPPUNIT_ASSERT_EQUAL(std::string("weight: 1"), tree.documents().at("organisations/mill"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), tree.version("organisations/mill"));
    }

    void olderOffsetsAreIgnored()
    {
        ConfigurationTree tree;
        tree.apply(makeChange("organisations/mill", 0, "weight: 1"), 4);
        tree.apply(makeChange("organisations/mill", 5, "weight: 2"), 6);
        CPPUNIT_ASSERT(tree.apply(makeChange("organisations/mill", 0, "weight: 1"), 4) == ConfigurationTree::Verdict::AlreadyApplied);
        CPPUNIT_ASSERT_EQUAL(std::string("weight: 2"), tree.documents().at("organisations/mill"));
        tree.advanceTo(2);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), tree.nextOffset());
    }

    void subtreeVersionsAreIndependent()
    {
        ConfigurationTree tree;
        tree.apply(makeChange("teams/a/pools/x", 0, "1"), 0);
        CPPUNIT_ASSERT(tree.apply(makeChange("teams/b/pools/x", 0, "2"), 1) == ConfigurationTree::Verdict::Accepted);
        CPPUNIT_ASSERT(tree.apply(makeChange("teams/a/pipelines/y", 1, "3"), 2) == ConfigurationTree::Verdict::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), tree.version("teams/a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), tree.version("teams/b"));
    }

    void firstClaimWins()
    {
        ClaimLedger ledger(keyLifetime);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c1", "k"), m_wall) == Verdict::Won);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c2", "k"), m_wall + seconds(5)) == Verdict::Lost);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c1", "k"), m_wall + seconds(9)) == Verdict::Won);
    }

    void expiredKeysCannotBeClaimed()
    {
        ClaimLedger ledger(keyLifetime);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c1", "k"), m_wall + seconds(3599)) == Verdict::Won);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c2", "k"), m_wall + seconds(3601)) == Verdict::Expired);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c3", "k"), m_wall + seconds(8000)) == Verdict::Expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger.size());
    }

    void onlyTheHolderCanRelease()
    {
        ClaimLedger ledger(keyLifetime);
        ledger.apply(makeClaim("c1", "k"), m_wall);
        ledger.release("k", "c2");
        CPPUNIT_ASSERT(ledger.holder("k") != nullptr);
        ledger.release("k", "c1");
        CPPUNIT_ASSERT(ledger.holder("k") == nullptr);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c3", "k"), m_wall + seconds(1)) == Verdict::Won);
        // The expired entry of the released claim must not remove the new one.
        ledger.apply(makeClaim("c4", "other"), m_wall + seconds(3600));
        CPPUNIT_ASSERT(ledger.holder("k") != nullptr);
    }

    void abandonedClaimThatWinsIsReleased()
    {
        KeyTable table(keyLifetime);
        CPPUNIT_ASSERT(beginClaim(table, "k", "c1") == Standing::Free);
        CPPUNIT_ASSERT(!table.abandon("k", false));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Standing::InProgress);
        CPPUNIT_ASSERT(table.apply(makeClaim("c1", "k"), m_wall));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Standing::InProgress);
        table.applyRelease("k", "c1");
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Standing::Free);
    }

    void keyIsInProgressUntilItsReleaseIsRead()
    {
        KeyTable table(keyLifetime);
        beginClaim(table, "k", "c1");
        CPPUNIT_ASSERT(!table.apply(makeClaim("c1", "k"), m_wall));
        CPPUNIT_ASSERT(table.finished("k", makeNotRunRefusal()) == std::optional<std::string>("c1"));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Standing::InProgress);
        table.applyRelease("k", "c1");
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Standing::Free);
    }

    void repeatedRequestGetsTheStoredAnswer()
    {
        KeyTable table(keyLifetime);
        beginClaim(table, "k", "c1");
        table.apply(makeClaim("c1", "k"), m_wall);
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Standing::InProgress);
        auto answer = std::make_shared<PipelineAnswer>();
        answer->output = boost::json::object{{"receipt", "r1"}};
        CPPUNIT_ASSERT(!table.finished("k", answer));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c3") == Standing::Answered);
        KeyTable peerTable(keyLifetime);
        peerTable.apply(makeClaim("c1", "k"), m_wall);
        CPPUNIT_ASSERT(beginClaim(peerTable, "k", "c4") == Standing::Elsewhere);
    }

    void secondDeathQuarantinesTheRequest()
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

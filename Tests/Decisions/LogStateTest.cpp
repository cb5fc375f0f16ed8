#include "Decisions/ClaimLedger.h"
#include "Decisions/ConfigurationTree.h"
#include "Decisions/PoisonLedger.h"
#include "Flow/PipelineResponse.h"
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
    using Status = KeyTable::Status;

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

    static std::shared_ptr<const PipelineResponse> makeNotRunRefusal()
    {
        auto answer = std::make_shared<PipelineResponse>();
        answer->refusal = Refusal::of(ResultCode::NoTarget, RunState::No, "none");
        return answer;
    }

    static Status beginClaim(KeyTable &table, const std::string &key, const std::string &claimId)
    {
        std::shared_ptr<const PipelineResponse> storedAnswer;
        return table.beginClaim(key, claimId, {}, storedAnswer);
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
        CPPUNIT_ASSERT(ledger.claimOf("k") != nullptr);
        ledger.release("k", "c1");
        CPPUNIT_ASSERT(ledger.claimOf("k") == nullptr);
        CPPUNIT_ASSERT(ledger.apply(makeClaim("c3", "k"), m_wall + seconds(1)) == Verdict::Won);
        // The expired entry of the released claim must not remove the new one.
        ledger.apply(makeClaim("c4", "other"), m_wall + seconds(3600));
        CPPUNIT_ASSERT(ledger.claimOf("k") != nullptr);
    }

    void abandonedClaimThatWinsIsReleased()
    {
        KeyTable table(keyLifetime);
        CPPUNIT_ASSERT(beginClaim(table, "k", "c1") == Status::Free);
        CPPUNIT_ASSERT(!table.abandonClaim("k", false));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Status::InProgress);
        CPPUNIT_ASSERT(table.applyClaim(makeClaim("c1", "k"), m_wall));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Status::InProgress);
        table.applyRelease("k", "c1");
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Status::Free);
    }

    void keyIsInProgressUntilItsReleaseIsRead()
    {
        KeyTable table(keyLifetime);
        beginClaim(table, "k", "c1");
        CPPUNIT_ASSERT(!table.applyClaim(makeClaim("c1", "k"), m_wall));
        CPPUNIT_ASSERT(table.completeRun("k", makeNotRunRefusal()) == std::optional<std::string>("c1"));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Status::InProgress);
        table.applyRelease("k", "c1");
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Status::Free);
    }

    void repeatedRequestGetsTheStoredAnswer()
    {
        KeyTable table(keyLifetime);
        beginClaim(table, "k", "c1");
        table.applyClaim(makeClaim("c1", "k"), m_wall);
        CPPUNIT_ASSERT(beginClaim(table, "k", "c2") == Status::InProgress);
        auto answer = std::make_shared<PipelineResponse>();
        answer->output = boost::json::object{{"receipt", "r1"}};
        CPPUNIT_ASSERT(!table.completeRun("k", answer));
        CPPUNIT_ASSERT(beginClaim(table, "k", "c3") == Status::Answered);
        KeyTable peerTable(keyLifetime);
        peerTable.applyClaim(makeClaim("c1", "k"), m_wall);
        CPPUNIT_ASSERT(beginClaim(peerTable, "k", "c4") == Status::HeldElsewhere);
    }

    void secondDeathQuarantinesTheRequest()
    {
        const Clock::TimePoint now{seconds(50)};
        PoisonLedger ledger(seconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger.recordDeath(7, now));
        CPPUNIT_ASSERT(ledger.isSuspect(7, now) && !ledger.isQuarantined(7, now));
        ledger.mergePeerDeaths(7, 2, now);
        CPPUNIT_ASSERT(ledger.isQuarantined(7, now));
        CPPUNIT_ASSERT(!ledger.isQuarantined(7, now + seconds(601)));
        ledger.recordDeath(8, now);
        ledger.clearSuspect(8);
        CPPUNIT_ASSERT(!ledger.isSuspect(8, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStateTest);

} // namespace Guavalock

#include "Decisions/AvailabilityStatement.h"
#include "Fleet/Catalogue.h"
#include "Fleet/ColdTargetQuota.h"
#include "Fleet/FleetRetryBudget.h"
#include "Fleet/FleetTable.h"
#include "Fleet/IdleConnectionLimit.h"
#include "Fleet/RecordMirror.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <tuple>

namespace Guavalock
{

class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(longestPrefixOfTheHostWins);
    CPPUNIT_TEST(routesOfOneHostMaySpellItDifferently);
    CPPUNIT_TEST(routesThatNoRequestReachesAreDescribed);
    CPPUNIT_TEST(olderRecordsNeverReplaceNewerOnes);
    CPPUNIT_TEST(keysMissingFromACompleteUpdateAreDeleted);
    CPPUNIT_TEST(recordsOfAPeerKeepTheirAge);
    CPPUNIT_TEST(deletionsUnknownToThePeerAreDetected);
    CPPUNIT_TEST(recordsOfANewEraReplaceThoseOfLargerOffsets);
    CPPUNIT_TEST(olderValuesOfACopyAreNotTaken);
    CPPUNIT_TEST(ordersWithoutRevisionAreHeldUntilTheyAreWrittenAgain);
    CPPUNIT_TEST(daemonsThatStartLearnWhatTheCopyLacks);
    CPPUNIT_TEST(coldSharesAddUpToTheRate);
    CPPUNIT_TEST(disjointViewsStayWithinTheColdRate);
    CPPUNIT_TEST(nothingIsSentToColdTargetsWithoutAMemberList);
    CPPUNIT_TEST(drainingAndEvacuatedTargetsAreNotChosen);
    CPPUNIT_TEST(targetsCountAsColdAfterAnEvacuation);
    CPPUNIT_TEST(missingTargetsAreUsedOnlyAsAFallback);
    CPPUNIT_TEST(targetsWithLostConnectionsAreAvoided);
    CPPUNIT_TEST(partlyFailingTargetsGetFewerRequests);
    CPPUNIT_TEST(requestsWithASharedPromptGoToOneTarget);
    CPPUNIT_TEST(warmRecordsDoNotShortenTheColdTime);
    CPPUNIT_TEST(repeatsOfAllDaemonsStayWithinTheBudget);
    CPPUNIT_TEST(idleConnectionsStayWithinHalfOfTheAcceptedOnes);
    CPPUNIT_TEST(leavingTargetsAreNeverChosen);
    CPPUNIT_TEST(onlyANewerIncarnationBringsALeavingTargetBack);
    CPPUNIT_TEST(pausedTargetsAreNotChosenUntilThePauseEnds);
    CPPUNIT_TEST(theTimeUntilAvailableIsKnownOnlyFromStatements);
    CPPUNIT_TEST(limitedTargetsGetNoMoreThanTheirLimit);
    CPPUNIT_TEST(urgentRequestsGetTheTurnsOfLimitedTargets);
    CPPUNIT_TEST(limitsOfOthersAreKeptForTheIncarnation);
    CPPUNIT_TEST(placedTargetsAreUsedOnlyIfThisDaemonMay);
    CPPUNIT_TEST_SUITE_END();

    using Milliseconds = std::chrono::milliseconds;

    Clock::TimePoint m_now{std::chrono::seconds(100)};

    static TargetRecord target(const std::string &id, const std::string &dataCentre = "north", const std::string &service = "model")
    {
        TargetRecord record;
        record.id = id;
        record.service = service;
        record.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + id.back())};
        record.dataCentre = dataCentre;
        return record;
    }

    static ServiceRecord service()
    {
        ServiceRecord record;
        record.name = "model";
        record.coldStartTime = Milliseconds(3'000);
        record.coldRequestRate = 11;
        return record;
    }

    static TargetRequirements requirements(std::uint64_t affinity = 0)
    {
        TargetRequirements requirements;
        requirements.service = "model";
        requirements.affinity = affinity;
        return requirements;
    }

    static TargetRequirements requirementsOf(const std::string &service)
    {
        TargetRequirements requirements;
        requirements.service = service;
        return requirements;
    }

    static TargetRecord startedAt(const std::string &id, Milliseconds startTime)
    {
        TargetRecord record = target(id);
        record.startTime = startTime;
        return record;
    }

    bool recordStatement(FleetTable &fleet, const std::string &id, const AvailabilityStatement &statement, Milliseconds startTime = {})
    {
        return fleet.recordStatement({id, {}, {}, "model", {}, startTime}, statement, m_now);
    }

    std::optional<SelectedTarget> choose(FleetTable &fleet, const TargetRequirements &requirements)
    {
        Reason reason;
        return fleet.choose(requirements, service(), m_now, reason);
    }

public:
    void longestPrefixOfTheHostWins()
    {
        Catalogue::Content content;
        for (const std::string prefix : {"/", "/a/", "/a/b/"}) {
            RouteRecord route;
            route.host = HostName("h");
            route.prefix = prefix;
            content.routes.push_back(route);
        }
        const Catalogue catalogue(content);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b/"), catalogue.route(HostName("h"), "/a/b/c")->prefix);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), catalogue.route(HostName("h"), "/a/bc")->prefix);
        CPPUNIT_ASSERT(catalogue.route(HostName("other"), "/a/") == nullptr);
    }

    /// Guards against routes that no request reaches because their host has capitals, and against a host split by its spellings.
    void routesOfOneHostMaySpellItDifferently()
    {
        Catalogue::Content content;
        for (const auto &[name, host, prefix] : {std::tuple("first", "Shop.Example", "/a/"), std::tuple("deep", "shop.example", "/a/b/"),
                                                 std::tuple("second", "SHOP.example", "/a/")}) {
            RouteRecord route;
            route.name = name;
            route.host = HostName(host);
            route.prefix = prefix;
            content.routes.push_back(route);
        }
        const Catalogue catalogue(content);
        for (const std::string host : {"Shop.Example", "shop.example", "SHOP.EXAMPLE", "sHoP.eXaMpLe"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(host, std::string("deep"), catalogue.route(HostName(host), "/a/b/c")->name);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(host, std::string("first"), catalogue.route(HostName(host), "/a/c")->name);
            CPPUNIT_ASSERT(catalogue.route(HostName(host), "/A/c") == nullptr);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("Shop.Example"), catalogue.route(HostName("shop.example"), "/a/c")->host.text());
    }

    /// Guards against routes that answer 404 for good without a word to the operator.
    void routesThatNoRequestReachesAreDescribed()
    {
        Catalogue::Content content;
        for (const auto &[name, host, prefix] :
             {std::tuple("a", "Shop.example", "/a/"), std::tuple("b", "shop.example", "/b/"), std::tuple("c", "shop.example:80", "/a/"),
              std::tuple("d", "shop.EXAMPLE.", "/a/"), std::tuple("e", "shop example", "/a/"), std::tuple("f", "", "/a/"),
              std::tuple("g", "shop.example", "a/")}) {
            RouteRecord route;
            route.name = name;
            route.host = HostName(host);
            route.prefix = prefix;
            content.routes.push_back(route);
        }
        const std::vector<std::string> expected{"route d: route a has the same host and path prefix",
                                                "route e: its host \"shop example\" is malformed", "route f: its host \"\" is malformed",
                                                "route g: its path prefix does not begin with a slash"};
        CPPUNIT_ASSERT(Catalogue(content).describeUnreachableRoutes() == expected);
    }

    void olderRecordsNeverReplaceNewerOnes()
    {
        RecordMirror mirror;
        mirror.apply({Topic::Operator, {{"config", "new", 9}}, 10, m_now, false});
        CPPUNIT_ASSERT(mirror.apply({Topic::Operator, {{"config", "old", 4}}, 5, m_now, false}).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), mirror.progress(Topic::Operator).next);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), *mirror.updateSince(Topic::Operator, {0, 0}).records.front().value);
    }

    void keysMissingFromACompleteUpdateAreDeleted()
    {
        RecordMirror mirror;
        mirror.apply({Topic::Targets, {{"a", "1", 3}, {"b", "1", 8}}, 9, m_now, false});
        const auto changes = mirror.apply({Topic::Targets, {{"c", "1", 5}}, 7, m_now, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), changes.back().key);
        CPPUNIT_ASSERT(!changes.back().value);
        // A record written after the complete update was read is not deleted by it.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.updateSince(Topic::Targets, {0, 8}).records.size());
    }

    void recordsOfAPeerKeepTheirAge()
    {
        RecordMirror mirror;
        mirror.apply({Topic::Targets, {}, 4, m_now - Milliseconds(900), false});
        CPPUNIT_ASSERT(mirror.progress(Topic::Targets).confirmed == m_now - Milliseconds(900));
        mirror.apply({Topic::Targets, {}, 4, m_now - Milliseconds(2'000), false});
        CPPUNIT_ASSERT(mirror.progress(Topic::Targets).confirmed == m_now - Milliseconds(900));
    }

    static std::optional<RecordRevision> revisionOf(Topic, const std::string &key, const std::string &value)
    {
        return key.starts_with("evacuate") ? std::nullopt : std::optional(RecordRevision{0, std::stoull(value)});
    }

    static std::optional<std::string> valueOf(const std::vector<KeyedRecord> &records, const std::string &key)
    {
        const auto it = std::ranges::find(records, key, &KeyedRecord::key);
        return it == records.end() ? std::nullopt : it->value;
    }

    /// The offsets of the new era are below those that the mirror has seen.
    void recordsOfANewEraReplaceThoseOfLargerOffsets()
    {
        RecordMirror mirror(&FleetTest::revisionOf);
        mirror.apply({Topic::Operator, {{"config", "11", 3}}, 4, m_now, true, 1, {}});
        CPPUNIT_ASSERT(mirror.apply({Topic::Operator, {{"config", "14", 3}}, 4, m_now, false, 2, {}}).empty());
        CPPUNIT_ASSERT(mirror.apply({Topic::Operator, {{"config", "11", 2}}, 3, m_now, true, 2, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), mirror.progress(Topic::Operator).next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.apply({Topic::Operator, {{"config", "14", 3}}, 4, m_now, false, 2, {}}).size());
        CPPUNIT_ASSERT(mirror.apply({Topic::Operator, {{"config", "11", 9}}, 10, m_now, true, 1, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("14"), *mirror.updateSince(Topic::Operator, {0, 0}).records.front().value);
    }

    void olderValuesOfACopyAreNotTaken()
    {
        RecordMirror mirror(&FleetTest::revisionOf);
        mirror.apply({Topic::Targets, {{"a", "5", 3}, {"b", "7", 4}, {"c", "2", 1}, {"e", "3", 2}}, 5, m_now, true, 1, {}});
        mirror.apply({Topic::Targets, {{"a", std::nullopt, 5}, {"d", "1", 6}, {"e", "4", 7}}, 8, m_now, false, 1, {}});
        // The copy has a target that has left and an older record of another, and lacks one that has come.
        const auto changes
            = mirror.apply({Topic::Targets, {{"a", "5", 3}, {"b", "9", 6}, {"c", "2", 1}, {"e", "3", 2}}, 7, m_now, true, 2, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("9"), *valueOf(changes, "b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), mirror.heldKeys(Topic::Targets).size());
        CPPUNIT_ASSERT(mirror.releaseHeld(Topic::Targets, m_now + RecordMirror::rewriteTime - Milliseconds(1)).empty());
        const auto released = mirror.releaseHeld(Topic::Targets, m_now + RecordMirror::rewriteTime);
        CPPUNIT_ASSERT_EQUAL(std::string("d"), released.at(0).key);
        CPPUNIT_ASSERT(!released[0].value);
        CPPUNIT_ASSERT_EQUAL(std::string("4"), *valueOf(mirror.updateSince(Topic::Targets, {0, 0}).records, "e"));
        // A target that is written again is taken whatever its offset was.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), mirror.apply({Topic::Targets, {{"a", "6", 7}, {"d", "2", 8}}, 9, m_now, false, 2, {}}).size());
    }

    void ordersWithoutRevisionAreHeldUntilTheyAreWrittenAgain()
    {
        RecordMirror mirror(&FleetTest::revisionOf);
        mirror.apply({Topic::Operator, {{"evacuate/a", "{}", 1}, {"evacuate/b", "{}", 5}, {"evacuate/c", "{}", 2}}, 6, m_now, true, 1, {}});
        mirror.apply({Topic::Operator, {{"evacuate/a", std::nullopt, 6}}, 7, m_now, false, 1, {}});
        // The end of one evacuation and the order of another are lost.
        CPPUNIT_ASSERT(mirror.apply({Topic::Operator, {{"evacuate/a", "{}", 1}, {"evacuate/c", "{}", 2}}, 3, m_now, true, 2, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), mirror.heldKeys(Topic::Operator).size());
        mirror.apply({Topic::Operator, {{"evacuate/b", "{}", 3}}, 4, m_now, false, 2, {}});
        const auto released = mirror.releaseHeld(Topic::Operator, m_now + RecordMirror::rewriteTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), released.size());
        CPPUNIT_ASSERT_EQUAL(std::string("evacuate/a"), released[0].key);
        CPPUNIT_ASSERT(released[0].value);
    }

    void daemonsThatStartLearnWhatTheCopyLacks()
    {
        RecordMirror old(&FleetTest::revisionOf);
        old.apply({Topic::Targets, {{"a", "5", 3}, {"b", "7", 4}}, 5, m_now, true, 1, {}});
        old.apply({Topic::Targets, {{"a", "4", 1}}, 2, m_now, true, 2, {}});
        RecordMirror young(&FleetTest::revisionOf);
        const auto learned = young.apply(old.updateSince(Topic::Targets, {0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string("5"), *valueOf(learned, "a"));
        CPPUNIT_ASSERT_EQUAL(std::string("7"), *valueOf(learned, "b"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), young.releaseHeld(Topic::Targets, m_now + RecordMirror::rewriteTime).at(0).key);
        // A daemon that knows more decides for itself what it holds.
        RecordMirror other(&FleetTest::revisionOf);
        other.apply({Topic::Targets, {{"c", "1", 4}}, 5, m_now, true, 1, {}});
        other.apply(old.updateSince(Topic::Targets, {1, 5}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), other.heldKeys(Topic::Targets).size());
    }

    /// A daemon that has just started reads only the latest records, so it never received earlier deletions. If another daemon then reads
    /// through it, targets that were deleted before must still be removed there.
    void deletionsUnknownToThePeerAreDetected()
    {
        RecordMirror old;
        old.apply({Topic::Targets, {{"gone", "1", 3}, {"kept", "1", 4}}, 5, m_now, false});
        RecordMirror young;
        young.apply({Topic::Targets, {{"kept", "1", 4}, {"new", "1", 7}}, 8, m_now, true});
        const RecordUpdate update = young.updateSince(Topic::Targets, {0, 5});
        CPPUNIT_ASSERT(update.complete);
        const auto changes = old.apply(update);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
        CPPUNIT_ASSERT(changes[0].key == "new" && changes[1].key == "gone" && !changes[1].value);
        // Later deletions are known, so updates from here on are incremental.
        young.apply({Topic::Targets, {{"kept", std::nullopt, 8}}, 9, m_now, false});
        CPPUNIT_ASSERT(!young.updateSince(Topic::Targets, {0, 8}).complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), young.updateSince(Topic::Targets, {0, 8}).records.size());
    }

    void coldSharesAddUpToTheRate()
    {
        for (std::size_t n = 1; n <= 74; ++n) {
            std::vector<std::string> members;
            for (std::size_t it = 0; it < n; ++it) {
                members.push_back("vm-" + std::to_string(it));
            }
            std::size_t sum = 0;
            for (const std::string &it : members) {
                sum += ColdTargetQuota::requestsPerSecond("target", 11, it, members);
            }
            CPPUNIT_ASSERT(sum <= 11 && sum >= 8);
        }
    }

    void disjointViewsStayWithinTheColdRate()
    {
        constexpr double overage = 1.5;
        constexpr double tolerance = 5;
        const std::vector<std::string> one{"a", "b", "c"};
        const std::vector<std::string> other{"d", "e", "f"};
        for (const double rate : {4.0, 9.6, 11.0}) {
            std::size_t sum = 0;
            for (const std::string &it : one) {
                sum += ColdTargetQuota::requestsPerSecond("t", rate, it, one);
            }
            for (const std::string &it : other) {
                sum += ColdTargetQuota::requestsPerSecond("t", rate, it, other);
            }
            CPPUNIT_ASSERT(static_cast<double>(sum) <= rate * overage + tolerance);
        }
    }

    void nothingIsSentToColdTargetsWithoutAMemberList()
    {
        FleetTable fleet("vm");
        TargetRecord cold = target("t1");
        cold.coldRemaining = Milliseconds(3'000);
        fleet.update(cold, {0, 1}, m_now);
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
        fleet.setSenders({"vm"});
        std::size_t sent = 0;
        while (choose(fleet, requirements())) {
            ++sent;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(11), sent);
        m_now += Milliseconds(1'001);
        CPPUNIT_ASSERT(choose(fleet, requirements()));
        m_now += Milliseconds(3'000);
        fleet.setSenders({});
        CPPUNIT_ASSERT(choose(fleet, requirements()));
    }

    void drainingAndEvacuatedTargetsAreNotChosen()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1"), {0, 1}, m_now);
        fleet.update(target("t2", "south"), {0, 2}, m_now);
        fleet.setEvacuated("south", true, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), choose(fleet, requirements())->id);
        TargetRecord draining = target("t1");
        draining.draining = true;
        CPPUNIT_ASSERT(fleet.update(draining, {0, 3}, m_now));
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
        CPPUNIT_ASSERT(!fleet.update(target("t1"), {0, 2}, m_now));
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
    }

    void targetsCountAsColdAfterAnEvacuation()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1", "south"), {0, 1}, m_now);
        fleet.setEvacuated("south", true, m_now);
        fleet.setEvacuated("south", false, m_now);
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
    }

    /// During an outage of the store records expire, and live targets write theirs again afterwards.
    void missingTargetsAreUsedOnlyAsAFallback()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1"), {0, 1}, m_now);
        fleet.update(target("t2"), {0, 2}, m_now);
        const auto until = m_now + Milliseconds(2'000);
        fleet.markMissing("t1", until);
        for (int it = 0; it < 20; ++it) {
            CPPUNIT_ASSERT_EQUAL(std::string("t2"), choose(fleet, requirements(it))->id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.availableTargets("model", m_now).size());
        fleet.markMissing("t2", until);
        CPPUNIT_ASSERT(choose(fleet, requirements()).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.availableTargets("model", m_now).size());
        fleet.update(target("t1"), {0, 3}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), choose(fleet, requirements())->id);
    }

    void targetsWithLostConnectionsAreAvoided()
    {
        FleetTable fleet("vm");
        fleet.setSenders({"vm"});
        fleet.update(target("t1"), {0, 1}, m_now);
        fleet.update(target("t2"), {0, 2}, m_now);
        fleet.recordAttempt("t1", {AttemptReport::Outcome::ConnectionLost, {}, std::nullopt}, Milliseconds(0), m_now);
        for (int it = 0; it < 10; ++it) {
            CPPUNIT_ASSERT_EQUAL(std::string("t2"), choose(fleet, requirements(7))->id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.availableTargets("model", m_now).size());
    }

    /// The placement owner does not know what a target has stated to this daemon.
    void placedTargetsAreUsedOnlyIfThisDaemonMay()
    {
        FleetTable fleet("vm");
        fleet.setSenders({"vm"});
        for (const char *it : {"t1", "t2", "t3"}) {
            fleet.update(target(it), {0, 1}, m_now);
        }
        TargetRequirements placed = requirements(7);
        for (const char *it : {"t1", "t2", "t3"}) {
            placed.placedTarget = it;
            CPPUNIT_ASSERT_EQUAL(std::string(it), choose(fleet, placed)->id);
        }
        CPPUNIT_ASSERT(recordStatement(fleet, "t1", {true, std::nullopt}));
        fleet.recordAttempt("t2", {AttemptReport::Outcome::ConnectionLost, {}, std::nullopt}, Milliseconds(0), m_now);
        placed.triedTargets = {"t3"};
        for (const char *it : {"t1", "t2", "t3", "unknown"}) {
            placed.placedTarget = it;
            CPPUNIT_ASSERT(!choose(fleet, placed));
        }
        const std::vector<PlacementCandidate> candidates = fleet.placementCandidates(service(), m_now);
        CPPUNIT_ASSERT(candidates.size() == 3 && !candidates[0].usable && !candidates[1].usable && candidates[2].usable);
    }

    void partlyFailingTargetsGetFewerRequests()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1"), {0, 1}, m_now);
        fleet.update(target("t2"), {0, 2}, m_now);
        std::map<std::string, int> sent;
        for (int it = 0; it < 200; ++it) {
            const auto pick = choose(fleet, requirements());
            ++sent[pick->id];
            const bool fails = pick->id == "t1" && it % 2 == 0;
            const auto end = fails ? AttemptReport::Outcome::Failed : AttemptReport::Outcome::Answered;
            fleet.recordAttempt(pick->id, {end, Milliseconds(30), std::nullopt}, Milliseconds(0), m_now);
        }
        CPPUNIT_ASSERT(sent["t1"] * 3 < sent["t2"]);
    }

    void requestsWithASharedPromptGoToOneTarget()
    {
        FleetTable here("vm-1");
        FleetTable there("vm-2");
        for (const std::string id : {"t1", "t2", "t3", "t4"}) {
            here.update(target(id), {0, 1}, m_now);
            there.update(target(id), {0, 1}, m_now);
        }
        std::set<std::string> used;
        for (std::uint64_t it = 1; it < 40; ++it) {
            const auto pick = choose(here, requirements(it));
            CPPUNIT_ASSERT_EQUAL(pick->id, choose(there, requirements(it))->id);
            here.recordAttempt(pick->id, {AttemptReport::Outcome::Answered, {}, std::nullopt}, Milliseconds(0), m_now);
            there.recordAttempt(pick->id, {AttemptReport::Outcome::Answered, {}, std::nullopt}, Milliseconds(0), m_now);
            used.insert(pick->id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), used.size());
    }

    void warmRecordsDoNotShortenTheColdTime()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1"), {0, 1}, m_now);
        fleet.markAllCold(m_now);
        fleet.update(target("t1"), {0, 2}, m_now);
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
    }

    void repeatsOfAllDaemonsStayWithinTheBudget()
    {
        constexpr std::size_t members = 6;
        const FleetRetryBudget::Limits limits{0.2, 52, std::chrono::seconds(10)};
        std::size_t repeats = 0;
        for (std::size_t vm = 0; vm < members; ++vm) {
            FleetRetryBudget budget(limits);
            budget.setMemberCount(members);
            for (int it = 0; it < 50; ++it) {
                budget.recordRequest("model", m_now);
            }
            while (budget.tryAcquire("model", m_now)) {
                ++repeats;
            }
        }
        CPPUNIT_ASSERT(repeats <= 0.2 * 300 + 52);
        CPPUNIT_ASSERT(repeats >= 0.2 * 300);
    }

    void idleConnectionsStayWithinHalfOfTheAcceptedOnes()
    {
        IdleConnectionLimit share;
        for (const std::size_t members : {1U, 6U, 8U, 61U, 74U, 330U}) {
            share.setMemberCount(members);
            for (const std::size_t accepted : {6U, 51U, 96U, 110U, 430U}) {
                CPPUNIT_ASSERT(share.perTarget(accepted) * members <= accepted / 2);
            }
        }
        share.setMemberCount(8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), share.perTarget(51));
        CPPUNIT_ASSERT(share.perTarget(0) > 1'000);
    }

    /// Not even if no other target is left.
    void limitedTargetsGetNoMoreThanTheirLimit()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1"), {0, 1}, m_now);
        CPPUNIT_ASSERT(recordStatement(fleet, "t1", {false, std::nullopt, 1.0}));
        // While the other daemons are not known, nothing is sent.
        CPPUNIT_ASSERT(fleet.timeUntilAvailable(requirements(), m_now) == Clock::Duration::max());
        fleet.setSenders({"vm"});
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
        CPPUNIT_ASSERT(fleet.timeUntilAvailable(requirements(), m_now) == Milliseconds(1'000));
        std::size_t n = 0;
        for (int it = 0; it < 600; ++it) {
            m_now += Milliseconds(100);
            n += choose(fleet, requirements()) ? 1 : 0;
        }
        CPPUNIT_ASSERT(n == 60);
        fleet.update(target("t2"), {0, 1}, m_now);
        CPPUNIT_ASSERT(!fleet.timeUntilAvailable(requirements(), m_now));
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), choose(fleet, requirements())->id);
        CPPUNIT_ASSERT(recordStatement(fleet, "t1", {false, std::nullopt, AvailabilityStatement::unlimited}));
        fleet.setEvacuated("none", false, m_now);
        fleet.remove("t2", {0, 9});
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), choose(fleet, requirements())->id);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), choose(fleet, requirements())->id);
    }

    void urgentRequestsGetTheTurnsOfLimitedTargets()
    {
        FleetTable fleet("vm");
        fleet.setSenders({"vm"});
        fleet.update(target("t1"), {0, 1}, m_now);
        recordStatement(fleet, "t1", {false, std::nullopt, 1.0});
        TargetRequirements urgent = requirements();
        urgent.requestId = "urgent";
        TargetRequirements other = requirements();
        other.requestId = "other";
        other.rank = 1;
        fleet.joinWaiting(other);
        fleet.joinWaiting(urgent);
        CPPUNIT_ASSERT(fleet.timeUntilAvailable(urgent, m_now) == Milliseconds(1'000));
        CPPUNIT_ASSERT(fleet.timeUntilAvailable(other, m_now) == Milliseconds(2'000));
        m_now += Milliseconds(1'000);
        CPPUNIT_ASSERT(!choose(fleet, other));
        CPPUNIT_ASSERT(choose(fleet, urgent));
        fleet.leaveWaiting(urgent);
        m_now += Milliseconds(1'000);
        CPPUNIT_ASSERT(choose(fleet, other));
    }

    void limitsOfOthersAreKeptForTheIncarnation()
    {
        FleetTable fleet("vm");
        fleet.setSenders({"vm"});
        const LimitReport report{"t1", Milliseconds(5), 1.0, m_now};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.mergeLimits({report}, m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.mergeLimits({report}, m_now).size());
        fleet.update(startedAt("t1", Milliseconds(5)), {0, 1}, m_now);
        CPPUNIT_ASSERT(fleet.isLimited("t1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.limitSnapshot().size());
        CPPUNIT_ASSERT(fleet.takeLimitNews().empty());
        fleet.update(startedAt("t1", Milliseconds(6)), {0, 2}, m_now);
        CPPUNIT_ASSERT(!fleet.isLimited("t1"));
        CPPUNIT_ASSERT(fleet.mergeLimits({report}, m_now).empty());
        CPPUNIT_ASSERT(recordStatement(fleet, "t1", {false, std::nullopt, 2.0}, Milliseconds(6)));
        CPPUNIT_ASSERT_EQUAL(2.0, fleet.takeLimitNews().at(0).requestsPerSecond);
        CPPUNIT_ASSERT(fleet.takeLimitNews().empty());
    }

    void leavingTargetsAreNeverChosen()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1"), {0, 1}, m_now);
        fleet.update(target("t2", "south"), {0, 2}, m_now);
        CPPUNIT_ASSERT(recordStatement(fleet, "t1", {true, std::nullopt}));
        for (int it = 0; it < 20; ++it) {
            CPPUNIT_ASSERT_EQUAL(std::string("t2"), choose(fleet, requirements(it))->id);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("south"), fleet.predictDataCentre(requirements(), service(), m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.availableTargets("model", m_now).size());
        CPPUNIT_ASSERT(recordStatement(fleet, "t2", {true, std::nullopt}));
        fleet.markMissing("t2", m_now + Milliseconds(2'000));
        TargetRequirements tried = requirements();
        tried.triedTargets = {"t1"};
        CPPUNIT_ASSERT(!choose(fleet, requirements()) && !choose(fleet, tried));
        CPPUNIT_ASSERT(fleet.availableTargets("model", m_now).empty());
    }

    void onlyANewerIncarnationBringsALeavingTargetBack()
    {
        FleetTable fleet("vm");
        fleet.update(startedAt("t1", Milliseconds(5)), {0, 1}, m_now);
        recordStatement(fleet, "t1", {true, std::nullopt}, Milliseconds(5));
        fleet.update(startedAt("t1", Milliseconds(5)), {0, 2}, m_now);
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
        fleet.remove("t1", {0, 3});
        fleet.update(startedAt("t1", Milliseconds(5)), {0, 4}, m_now);
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
        // The statement arrives after the record has been removed.
        recordStatement(fleet, "t3", {true, std::nullopt}, Milliseconds(5));
        fleet.update(startedAt("t3", Milliseconds(5)), {0, 5}, m_now);
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
        fleet.update(startedAt("t1", Milliseconds(6)), {0, 6}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), choose(fleet, requirements())->id);
        CPPUNIT_ASSERT(!recordStatement(fleet, "t1", {true, std::nullopt}, Milliseconds(5)));
        CPPUNIT_ASSERT(choose(fleet, requirements()).has_value());
        // A statement of a later incarnation than the one remembered without a record.
        CPPUNIT_ASSERT(recordStatement(fleet, "t4", {true, std::nullopt}, Milliseconds(5)));
        CPPUNIT_ASSERT(recordStatement(fleet, "t4", {true, std::nullopt}, Milliseconds(6)));
        // The store has lost its history and shows an older record again.
        fleet.update(startedAt("t1", Milliseconds(5)), {0, 7}, m_now);
        CPPUNIT_ASSERT(choose(fleet, requirements())->startTime == Milliseconds(6));
        // Another target that now uses the address.
        recordStatement(fleet, "t1", {true, std::nullopt}, Milliseconds(6));
        TargetRecord other = target("t2");
        other.address = target("t1").address;
        fleet.update(other, {0, 8}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), choose(fleet, requirements())->id);
    }

    void pausedTargetsAreNotChosenUntilThePauseEnds()
    {
        FleetTable fleet("vm");
        fleet.update(target("t1"), {0, 1}, m_now);
        CPPUNIT_ASSERT(recordStatement(fleet, "t1", {false, Milliseconds(900)}));
        fleet.update(target("t1"), {0, 2}, m_now);
        m_now += Milliseconds(899);
        CPPUNIT_ASSERT(!choose(fleet, requirements()));
        CPPUNIT_ASSERT(fleet.availableTargets("model", m_now).empty());
        m_now += Milliseconds(1);
        CPPUNIT_ASSERT(choose(fleet, requirements()).has_value());
    }

    void theTimeUntilAvailableIsKnownOnlyFromStatements()
    {
        FleetTable fleet("vm");
        CPPUNIT_ASSERT(!fleet.timeUntilAvailable(requirements(), m_now));
        fleet.update(target("t1"), {0, 1}, m_now);
        fleet.update(target("t2"), {0, 2}, m_now);
        fleet.update(target("t3", "north", "other"), {0, 3}, m_now);
        recordStatement(fleet, "t1", {true, std::nullopt});
        CPPUNIT_ASSERT(!fleet.timeUntilAvailable(requirements(), m_now));
        recordStatement(fleet, "t2", {false, Milliseconds(900)});
        CPPUNIT_ASSERT(fleet.timeUntilAvailable(requirements(), m_now) == Milliseconds(900));
        TargetRecord draining = target("t4");
        draining.draining = true;
        fleet.update(draining, {0, 4}, m_now);
        CPPUNIT_ASSERT(fleet.timeUntilAvailable(requirements(), m_now) == Milliseconds(900));
        recordStatement(fleet, "t2", {true, std::nullopt});
        CPPUNIT_ASSERT(fleet.timeUntilAvailable(requirements(), m_now) == Clock::Duration::max());
        CPPUNIT_ASSERT(!fleet.timeUntilAvailable(requirementsOf("other"), m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace Guavalock

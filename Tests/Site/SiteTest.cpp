#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <numeric>
#include <thread>

namespace Guavalock
{

/// Site daemons over loopback against stand-ins of the users' platform.
class SiteTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SiteTest);
    CPPUNIT_TEST(plainRequestsPassUnchanged);
    CPPUNIT_TEST(faultsOfTargetsNeverLookLikeAnswers);
    CPPUNIT_TEST(whatMayNotRepeatRunsAtMostOnce);
    CPPUNIT_TEST(refusalsByTargetsAreTriedElsewhere);
    CPPUNIT_TEST(slowTargetsAreNotGivenUpWithoutARepeatInHand);
    CPPUNIT_TEST(unreachableTargetsCostNoRepeat);
    CPPUNIT_TEST(idleConnectionsLeaveRoomForOthers);
    CPPUNIT_TEST(refusalsWithoutAConfigurationSayWhenToComeBack);
    CPPUNIT_TEST(streamsGetTheirStagesAndFreeThem);
    CPPUNIT_TEST(resultsOfRequestsThatEndedAreFreed);
    CPPUNIT_TEST(piecesOfManyRequestsShareCalls);
    CPPUNIT_TEST(busyStageTargetsCostNoRequest);
    CPPUNIT_TEST(brokenStreamsGoOnElsewhere);
    CPPUNIT_TEST(streamsThatMayNotGoOnDoNotLookWhole);
    CPPUNIT_TEST(takenKeysAndLeavingTargetsAreHeardOfThroughPeers);
    CPPUNIT_TEST(removalsAfterAnOutageReachThoseWhoReadThroughAPeer);
    CPPUNIT_TEST(evacuatedDataCentresGetNothing);
    CPPUNIT_TEST(forgottenHistoryLosesNothing);
    CPPUNIT_TEST(daemonBornInAnOutageServes);
    CPPUNIT_TEST(plannedStopCutsNothing);
    CPPUNIT_TEST(inputBeyondTheLimitsIsRefused);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    static SiteFleet::Ask ask(const std::string &path, const std::string &id)
    {
        SiteFleet::Ask ask;
        ask.path = path;
        ask.id = id;
        ask.body = "body of " + id;
        return ask;
    }

    static SiteFleet::Ask staged(const std::string &id)
    {
        SiteFleet::Ask it = ask("/stream/x", id);
        it.headers = {{"X-Guavalock-Chunk-Count", "1,3"},
                      {"X-Guavalock-Chunk-Key", "key"},
                      {"X-Guavalock-Prefix-Hash", "aa:100,bb:50"},
                      {"X-Guavalock-Token-Usage", "150,20"}};
        return it;
    }

    static std::size_t runs(SiteFleet &fleet, const std::string &id)
    {
        std::size_t sum = 0;
        for (const std::string name : {"plain-1", "plain-2", "model-1", "model-2"}) {
            const auto runs = fleet.target(name).runs();
            sum += runs.contains(id) ? runs.at(id) : 0;
        }
        return sum;
    }

    static void setFaults(SiteFleet &fleet, Fault fault, std::size_t requests)
    {
        for (const std::string name : {"plain-1", "plain-2", "model-1", "model-2"}) {
            fleet.target(name).setFault(fault, requests);
        }
    }

public:
    void plainRequestsPassUnchanged()
    {
        SiteFleet fleet(1);
        fleet.start();
        SiteFleet::Ask it = ask("/safe/x?y=z", "a1");
        it.headers = {{"X-Guavalock-Tenant-Id", "forged"}, {"X-Guavalock-Pin-Ms", "9"}, {"X-Trace", "t"}};
        const SiteFleet::Answer answer = fleet.ask(0, it);
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("a1:body of a1"), answer.body);
        CPPUNIT_ASSERT(answer.isSigned);
        const std::string sent
            = fleet.target(runs(fleet, "a1") == 1 && fleet.target("plain-1").arrivals() == 1 ? "plain-1" : "plain-2").lastHeaders();
        CPPUNIT_ASSERT(sent.find("POST /safe/x?y=z") == 0);
        CPPUNIT_ASSERT(sent.find("X-Guavalock-Tenant-Id: mill") != std::string::npos);
        CPPUNIT_ASSERT(sent.find("X-Trace: t") != std::string::npos);
        for (const std::string absent : {"forged", "Api-Key", "Pin-Ms"}) {
            CPPUNIT_ASSERT(sent.find(absent) == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(404U, fleet.ask(0, ask("/nowhere", "a2")).status);
        it.key = "wrong";
        CPPUNIT_ASSERT_EQUAL(401U, fleet.ask(0, it).status);
    }

    void faultsOfTargetsNeverLookLikeAnswers()
    {
        SiteFleet fleet(1);
        fleet.start();
        int n = 0;
        for (const Fault fault : {Fault::Cut, Fault::Unsigned, Fault::Foreign, Fault::Reset}) {
            setFaults(fleet, fault, 1);
            const std::string once = "o" + std::to_string(++n);
            const SiteFleet::Answer lost = fleet.ask(0, ask("/once/x", once));
            CPPUNIT_ASSERT(lost.whole && (lost.status == 502 || lost.status == 504) && !lost.isSigned);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), runs(fleet, once));
            setFaults(fleet, Fault::None, 0);
            setFaults(fleet, fault, 1);
            // At most one of the two targets may fail it, so that the second attempt has a chance.
            fleet.target("plain-2").setFault(Fault::None, 0);
            const std::string safe = "s" + std::to_string(n);
            const SiteFleet::Answer answer = fleet.ask(0, ask("/safe/x", safe));
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
            CPPUNIT_ASSERT_EQUAL(safe + ":body of " + safe, answer.body);
        }
    }

    void whatMayNotRepeatRunsAtMostOnce()
    {
        SiteFleet fleet(2);
        fleet.start();
        for (int it = 0; it < 40; ++it) {
            setFaults(fleet, it % 2 == 0 ? Fault::Reset : Fault::Error, 1);
            const std::string id = "b" + std::to_string(it);
            const SiteFleet::Answer answer = fleet.ask(it % 2, ask("/once/x", id));
            CPPUNIT_ASSERT(runs(fleet, id) <= 1);
            CPPUNIT_ASSERT(answer.status != 503 || runs(fleet, id) == 0);
        }
    }

    void refusalsByTargetsAreTriedElsewhere()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.target("plain-1").setFault(Fault::Refuse, 100);
        for (int it = 0; it < 10; ++it) {
            const std::string id = "c" + std::to_string(it);
            CPPUNIT_ASSERT_EQUAL(200U, fleet.ask(0, ask("/once/x", id)).status);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), runs(fleet, id));
        }
        fleet.target("plain-2").setFault(Fault::Refuse, 100);
        const SiteFleet::Answer refused = fleet.ask(0, ask("/once/x", "c-none"));
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(!refused.retryAfter.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), runs(fleet, "c-none"));
    }

    void slowTargetsAreNotGivenUpWithoutARepeatInHand()
    {
        SiteFleet fleet(1);
        fleet.start();
        SiteSettings settings;
        settings.retryLimits = {0, 0, std::chrono::seconds(10)};
        fleet.daemon(0).reload(settings);
        for (const std::string name : {"plain-1", "plain-2"}) {
            fleet.target(name).setServiceTime(std::chrono::milliseconds(400));
        }
        for (int it = 0; it < 4; ++it) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.ask(0, ask("/safe/x", "n" + std::to_string(it))).status);
        }
    }

    /// A target of the plain service has a record and an address where nobody listens, as behind a cut.
    void unreachableTargetsCostNoRepeat()
    {
        SiteFleet fleet(1);
        fleet.store().put("keyed.servers", "plain-0",
                          R"({"service":"plain","address":"127.0.0.1:9","zone":"north","state":"ready","cold_remaining_ms":0,"born":1})");
        fleet.start();
        SiteSettings settings;
        settings.retryLimits = {0, 0, std::chrono::seconds(10)};
        fleet.daemon(0).reload(settings);
        for (int it = 0; it < 20; ++it) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.ask(0, ask("/once/x", "v" + std::to_string(it))).status);
        }
    }

    /// The targets accept 8 connections from two daemons.
    void idleConnectionsLeaveRoomForOthers()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("plain-1").setServiceTime(std::chrono::milliseconds(100));
        fleet.target("plain-2").setServiceTime(std::chrono::milliseconds(100));
        std::this_thread::sleep_for(std::chrono::seconds(1)); // The daemons have found each other.
        for (const std::string path : {"/safe/x", "/once/x"}) {
            std::vector<std::future<SiteFleet::Answer>> answers;
            for (int it = 0; it < 12; ++it) {
                const SiteFleet::Ask sent = ask(path, "q" + path + std::to_string(it));
                answers.push_back(std::async(std::launch::async, [&fleet, sent] { return fleet.ask(0, sent); }));
            }
            for (auto &it : answers) {
                CPPUNIT_ASSERT_EQUAL(200U, it.get().status);
            }
            for (const std::string name : {"plain-1", "plain-2"}) {
                CPPUNIT_ASSERT(SiteFleet::await([&] { return fleet.target(name).connections() <= 2; }));
            }
        }
    }

    void refusalsWithoutAConfigurationSayWhenToComeBack()
    {
        SiteFleet fleet(1);
        fleet.startDaemon(0);
        const SiteFleet::Answer answer = fleet.ask(0, ask("/safe/x", "r1"));
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(!answer.retryAfter.empty());
    }

    void streamsGetTheirStagesAndFreeThem()
    {
        SiteFleet fleet(2);
        fleet.start();
        const SiteFleet::Answer answer = fleet.ask(0, staged("d1"));
        CPPUNIT_ASSERT(answer.whole && answer.status == 200 && answer.isSigned);
        CPPUNIT_ASSERT(answer.body.find("id: 1\n") == 0 && answer.body.find("id: 5\n") != std::string::npos);
        // The three results of the last stage are the inputs.
        const std::string first = answer.body.substr(0, answer.body.find("\n\n"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), std::count(first.begin(), first.end(), ','));
        CPPUNIT_ASSERT(SiteFleet::await([&] { return fleet.target("stage-1").results() + fleet.target("stage-2").results() == 0; }));
    }

    void resultsOfRequestsThatEndedAreFreed()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("stage-1").setServiceTime(std::chrono::milliseconds(40));
        fleet.target("stage-2").setServiceTime(std::chrono::milliseconds(40));
        std::vector<std::future<void>> callers;
        for (int it = 0; it < 60; ++it) {
            const auto after = std::chrono::milliseconds(1 + 3 * it);
            const SiteFleet::Ask sent = staged("t" + std::to_string(it));
            callers.push_back(std::async(std::launch::async, [it, sent, after] { SiteFleet::leave(it % 2, sent, after); }));
        }
        for (auto &it : callers) {
            it.wait();
        }
        CPPUNIT_ASSERT(fleet.target("stage-1").batches() + fleet.target("stage-2").batches() > 0);
        CPPUNIT_ASSERT(SiteFleet::await([&] { return fleet.target("stage-1").results() + fleet.target("stage-2").results() == 0; }));
    }

    void piecesOfManyRequestsShareCalls()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("stage-1").setServiceTime(std::chrono::milliseconds(60));
        fleet.target("stage-2").setServiceTime(std::chrono::milliseconds(60));
        std::vector<std::future<SiteFleet::Answer>> answers;
        for (int it = 0; it < 12; ++it) {
            answers.push_back(std::async(std::launch::async, [&fleet, it] { return fleet.ask(it % 2, staged("e" + std::to_string(it))); }));
        }
        for (auto &it : answers) {
            CPPUNIT_ASSERT_EQUAL(200U, it.get().status);
        }
        const std::size_t calls = fleet.target("stage-1").batches() + fleet.target("stage-2").batches();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls for 48 pieces", calls <= 20);
        CPPUNIT_ASSERT(fleet.target("stage-1").maxBatchSize() <= 8 && fleet.target("stage-2").maxBatchSize() <= 8);
    }

    /// As after a restart of all daemons, while targets still work on what the dead ones had sent.
    void busyStageTargetsCostNoRequest()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.target("stage-1").setFault(Fault::Refuse, 5);
        fleet.target("stage-2").setFault(Fault::Refuse, 5);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.ask(0, staged("p1")).status);
    }

    void brokenStreamsGoOnElsewhere()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const std::string name : {"model-1", "model-2"}) {
            fleet.target("model-1").setFault(Fault::None, 0);
            fleet.target("model-2").setFault(Fault::None, 0);
            fleet.target(name).setFault(Fault::Cut, 1);
            for (const std::string number : {"1", "2"}) {
                const SiteFleet::Answer answer = fleet.ask(0, ask("/streamed/x", "f" + name + number));
                CPPUNIT_ASSERT(answer.whole);
                std::string expected;
                for (int it = 1; it <= 5; ++it) {
                    expected += "id: " + std::to_string(it) + "\ndata: f" + name + number + " \n\n";
                }
                CPPUNIT_ASSERT_EQUAL(expected, answer.body);
            }
        }
    }

    void streamsThatMayNotGoOnDoNotLookWhole()
    {
        SiteFleet fleet(1);
        fleet.start();
        setFaults(fleet, Fault::Cut, 1);
        const SiteFleet::Answer answer = fleet.ask(0, staged("g1"));
        CPPUNIT_ASSERT(!answer.whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runs(fleet, "g1"));
    }

    void takenKeysAndLeavingTargetsAreHeardOfThroughPeers()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.configure(2, R"("k2")");
        fleet.writeTarget("plain-1", "draining");
        CPPUNIT_ASSERT(SiteFleet::await([&] { return fleet.ask(0, ask("/safe/x", "h1")).status == 401; }));
        CPPUNIT_ASSERT(SiteFleet::await([&] { return fleet.ask(1, ask("/safe/x", "h2")).status == 401; }));
        SiteFleet::Ask it = ask("/once/x", "");
        it.key = "k2";
        CPPUNIT_ASSERT(SiteFleet::await([&] {
            const std::size_t before = fleet.target("plain-1").arrivals();
            for (int n = 0; n < 6; ++n) {
                it.id = "h3" + std::to_string(n);
                fleet.ask(n % 2, it);
            }
            return fleet.target("plain-1").arrivals() == before;
        }));
    }

    /// Of the daemons 0 and 2 in one data centre, one reads the store and the other asks it.
    void removalsAfterAnOutageReachThoseWhoReadThroughAPeer()
    {
        SiteFleet fleet(3);
        fleet.start();
        fleet.store().setOutage(true);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        fleet.store().setOutage(false);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
        fleet.dropTarget("plain-1");
        // A change is heard of within 1.2 s; at the end of the time for records to come back, the target is forgotten.
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
        const std::size_t before = fleet.target("plain-1").arrivals();
        for (int n = 0; n < 12; ++n) {
            fleet.ask(n % 2 * 2, ask("/safe/x", "u" + std::to_string(n)));
        }
        CPPUNIT_ASSERT_EQUAL(before, fleet.target("plain-1").arrivals());
    }

    void evacuatedDataCentresGetNothing()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.store().put("keyed.op", "evacuate/north", "{}");
        CPPUNIT_ASSERT(SiteFleet::await([&] {
            const std::size_t before = fleet.target("plain-1").arrivals();
            for (int n = 0; n < 6; ++n) {
                fleet.ask(0, ask("/safe/x", "i" + std::to_string(n)));
            }
            return fleet.target("plain-1").arrivals() == before;
        }));
        fleet.store().put("keyed.op", "evacuate/north", "");
        CPPUNIT_ASSERT(SiteFleet::await([&] {
            const std::size_t before = fleet.target("plain-1").arrivals();
            fleet.ask(0, ask("/safe/x", "i"));
            return fleet.target("plain-1").arrivals() > before;
        }));
    }

    void forgottenHistoryLosesNothing()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.store().forget();
        fleet.configure(3, R"("k3")");
        fleet.dropTarget("plain-1");
        fleet.store().forget();
        SiteFleet::Ask it = ask("/safe/x", "j1");
        it.key = "k3";
        CPPUNIT_ASSERT(SiteFleet::await([&] { return fleet.ask(0, it).status == 200; }));
    }

    void daemonBornInAnOutageServes()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.killDaemon(1);
        fleet.store().setOutage(true);
        fleet.startDaemon(1);
        CPPUNIT_ASSERT(SiteFleet::await([&] { return fleet.ready(1); }));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.ask(1, ask("/safe/x", "k1")).status);
    }

    void plannedStopCutsNothing()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("model-1").setServiceTime(std::chrono::milliseconds(150));
        fleet.target("model-2").setServiceTime(std::chrono::milliseconds(150));
        std::vector<std::future<SiteFleet::Answer>> answers;
        for (int it = 0; it < 8; ++it) {
            answers.push_back(std::async(std::launch::async, [&fleet, it] { return fleet.ask(it % 2, staged("l" + std::to_string(it))); }));
        }
        CPPUNIT_ASSERT(SiteFleet::await([&] { return runs(fleet, "l1") + runs(fleet, "l3") > 0; }));
        const auto stopped = std::async(std::launch::async, [&fleet] { return fleet.daemon(1).stop(); });
        CPPUNIT_ASSERT(SiteFleet::await([&] { return !fleet.ready(1); }));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.ask(1, ask("/safe/x", "l-late")).status);
        for (auto &it : answers) {
            const SiteFleet::Answer answer = it.get();
            CPPUNIT_ASSERT(answer.whole && answer.status == 200);
        }
        stopped.wait();
    }

    void inputBeyondTheLimitsIsRefused()
    {
        SiteFleet fleet(1);
        fleet.start();
        SiteFleet::Ask large = ask("/safe/x", "m1");
        large.headers = {{"X-Long", std::string(20'000, 'x')}};
        CPPUNIT_ASSERT_EQUAL(431U, fleet.ask(0, large).status);
        SiteFleet::Ask body = ask("/safe/x", "m2");
        body.body = std::string(5 * 1024 * 1024, 'x');
        const unsigned status = fleet.ask(0, body).status;
        CPPUNIT_ASSERT(status == 413 || status == 0);
        CPPUNIT_ASSERT_EQUAL(400U, fleet.ask(0, ask("/safe/x", "")).status);
        SiteFleet::Ask pieces = staged("m3");
        pieces.headers.front().second = "1,4000000000";
        CPPUNIT_ASSERT_EQUAL(400U, fleet.ask(0, pieces).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), runs(fleet, "m1") + runs(fleet, "m2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteTest);

} // namespace Guavalock

#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <numeric>
#include <thread>

namespace Guavalock
{

/// Tests site daemons over loopback against fakes of the users' platform.
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
    CPPUNIT_TEST(plannedStopRefusesWhatCannotEndInTime);
    CPPUNIT_TEST(plannedStopAnswersWhatWaitsForItsStages);
    CPPUNIT_TEST(plannedStopAnswersWhatItPassesOn);
    CPPUNIT_TEST(inputBeyondTheLimitsIsRefused);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    static SiteFleet::Request makeRequest(const std::string &path, const std::string &id)
    {
        SiteFleet::Request request;
        request.path = path;
        request.attemptId = id;
        request.body = "body of " + id;
        return request;
    }

    static SiteFleet::Request makeStagedRequest(const std::string &id)
    {
        SiteFleet::Request request = makeRequest("/stream/x", id);
        request.headers = {{"X-Guavalock-Chunk-Count", "1,3"},
                           {"X-Guavalock-Chunk-Key", "key"},
                           {"X-Guavalock-Prefix-Hash", "aa:100,bb:50"},
                           {"X-Guavalock-Token-Usage", "150,20"}};
        return request;
    }

    static std::size_t executionCount(SiteFleet &fleet, const std::string &id)
    {
        std::size_t total = 0;
        for (const std::string name : {"plain-1", "plain-2", "model-1", "model-2"}) {
            const auto executions = fleet.target(name).runs();
            total += executions.contains(id) ? executions.at(id) : 0;
        }
        return total;
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
        SiteFleet::Request request = makeRequest("/safe/x?y=z", "a1");
        request.headers = {{"X-Guavalock-Tenant-Id", "forged"}, {"X-Guavalock-Pin-Ms", "9"}, {"X-Trace", "t"}};
        const SiteFleet::Response response = fleet.send(0, request);
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("a1:body of a1"), response.body);
        CPPUNIT_ASSERT(response.isSigned);
        const std::string sent
            = fleet.target(executionCount(fleet, "a1") == 1 && fleet.target("plain-1").arrivals() == 1 ? "plain-1" : "plain-2")
                  .lastHeaders();
        CPPUNIT_ASSERT(sent.find("POST /safe/x?y=z") == 0);
        CPPUNIT_ASSERT(sent.find("X-Guavalock-Tenant-Id: mill") != std::string::npos);
        CPPUNIT_ASSERT(sent.find("X-Trace: t") != std::string::npos);
        for (const std::string absent : {"forged", "Api-Key", "Pin-Ms"}) {
            CPPUNIT_ASSERT(sent.find(absent) == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(404U, fleet.send(0, makeRequest("/nowhere", "a2")).status);
        request.apiKey = "wrong";
        CPPUNIT_ASSERT_EQUAL(401U, fleet.send(0, request).status);
    }

    void faultsOfTargetsNeverLookLikeAnswers()
    {
        SiteFleet fleet(1);
        fleet.start();
        int n = 0;
        for (const Fault fault : {Fault::Cut, Fault::Unsigned, Fault::Foreign, Fault::Reset}) {
            setFaults(fleet, fault, 1);
            const std::string once = "o" + std::to_string(++n);
            const SiteFleet::Response lost = fleet.send(0, makeRequest("/once/x", once));
            CPPUNIT_ASSERT(lost.complete && (lost.status == 502 || lost.status == 504) && !lost.isSigned);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), executionCount(fleet, once));
            setFaults(fleet, Fault::None, 0);
            setFaults(fleet, fault, 1);
            // Only one of the two targets injects the fault, so that the second attempt can succeed.
            fleet.target("plain-2").setFault(Fault::None, 0);
            const std::string safe = "s" + std::to_string(n);
            const SiteFleet::Response response = fleet.send(0, makeRequest("/safe/x", safe));
            CPPUNIT_ASSERT_EQUAL(200U, response.status);
            CPPUNIT_ASSERT_EQUAL(safe + ":body of " + safe, response.body);
        }
    }

    void whatMayNotRepeatRunsAtMostOnce()
    {
        SiteFleet fleet(2);
        fleet.start();
        for (int it = 0; it < 40; ++it) {
            setFaults(fleet, it % 2 == 0 ? Fault::Reset : Fault::Error, 1);
            const std::string id = "b" + std::to_string(it);
            const SiteFleet::Response response = fleet.send(it % 2, makeRequest("/once/x", id));
            CPPUNIT_ASSERT(executionCount(fleet, id) <= 1);
            CPPUNIT_ASSERT(response.status != 503 || executionCount(fleet, id) == 0);
        }
    }

    void refusalsByTargetsAreTriedElsewhere()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.target("plain-1").setFault(Fault::Refuse, 100);
        for (int it = 0; it < 10; ++it) {
            const std::string id = "c" + std::to_string(it);
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeRequest("/once/x", id)).status);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), executionCount(fleet, id));
        }
        fleet.target("plain-2").setFault(Fault::Refuse, 100);
        const SiteFleet::Response refused = fleet.send(0, makeRequest("/once/x", "c-none"));
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(!refused.retryAfter.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), executionCount(fleet, "c-none"));
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
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeRequest("/safe/x", "n" + std::to_string(it))).status);
        }
    }

    /// One target of the plain service is registered at an address without a listener, as during a network partition.
    void unreachableTargetsCostNoRepeat()
    {
        SiteFleet fleet(1);
        fleet.store().put(
            "keyed.servers", "plain-0",
            R"({"service":"plain","address":"127.0.0.1:9","zone":"north","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":0,"born":1,"sequence":1})");
        fleet.start();
        SiteSettings settings;
        settings.retryLimits = {0, 0, std::chrono::seconds(10)};
        fleet.daemon(0).reload(settings);
        for (int it = 0; it < 20; ++it) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeRequest("/once/x", "v" + std::to_string(it))).status);
        }
    }

    /// The configuration allows 8 connections to each target, shared by two daemons.
    void idleConnectionsLeaveRoomForOthers()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("plain-1").setServiceTime(std::chrono::milliseconds(100));
        fleet.target("plain-2").setServiceTime(std::chrono::milliseconds(100));
        std::this_thread::sleep_for(std::chrono::seconds(1)); // Lets the daemons discover each other.
        for (const std::string path : {"/safe/x", "/once/x"}) {
            std::vector<std::future<SiteFleet::Response>> responses;
            for (int it = 0; it < 12; ++it) {
                const SiteFleet::Request sent = makeRequest(path, "q" + path + std::to_string(it));
                responses.push_back(std::async(std::launch::async, [&fleet, sent] { return fleet.send(0, sent); }));
            }
            for (auto &it : responses) {
                CPPUNIT_ASSERT_EQUAL(200U, it.get().status);
            }
            for (const std::string name : {"plain-1", "plain-2"}) {
                CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.target(name).connections() <= 2; }));
            }
        }
    }

    void refusalsWithoutAConfigurationSayWhenToComeBack()
    {
        SiteFleet fleet(1);
        fleet.startDaemon(0);
        const SiteFleet::Response response = fleet.send(0, makeRequest("/safe/x", "r1"));
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(!response.retryAfter.empty());
    }

    void streamsGetTheirStagesAndFreeThem()
    {
        SiteFleet fleet(2);
        fleet.start();
        const SiteFleet::Response response = fleet.send(0, makeStagedRequest("d1"));
        CPPUNIT_ASSERT(response.complete && response.status == 200 && response.isSigned);
        CPPUNIT_ASSERT(response.body.find("id: 1\n") == 0 && response.body.find("id: 5\n") != std::string::npos);
        // The model request carries the three results of the last stage as its inputs.
        const std::string firstEvent = response.body.substr(0, response.body.find("\n\n"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), std::count(firstEvent.begin(), firstEvent.end(), ','));
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.target("stage-1").results() + fleet.target("stage-2").results() == 0; }));
    }

    void resultsOfRequestsThatEndedAreFreed()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("stage-1").setServiceTime(std::chrono::milliseconds(40));
        fleet.target("stage-2").setServiceTime(std::chrono::milliseconds(40));
        std::vector<std::future<void>> callers;
        for (int it = 0; it < 60; ++it) {
            const auto delay = std::chrono::milliseconds(1 + 3 * it);
            const SiteFleet::Request sent = makeStagedRequest("t" + std::to_string(it));
            callers.push_back(std::async(std::launch::async, [it, sent, delay] { SiteFleet::sendAndDisconnect(it % 2, sent, delay); }));
        }
        for (auto &it : callers) {
            it.wait();
        }
        CPPUNIT_ASSERT(fleet.target("stage-1").batches() + fleet.target("stage-2").batches() > 0);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.target("stage-1").results() + fleet.target("stage-2").results() == 0; }));
    }

    void piecesOfManyRequestsShareCalls()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("stage-1").setServiceTime(std::chrono::milliseconds(60));
        fleet.target("stage-2").setServiceTime(std::chrono::milliseconds(60));
        std::vector<std::future<SiteFleet::Response>> responses;
        for (int it = 0; it < 12; ++it) {
            responses.push_back(
                std::async(std::launch::async, [&fleet, it] { return fleet.send(it % 2, makeStagedRequest("e" + std::to_string(it))); }));
        }
        for (auto &it : responses) {
            CPPUNIT_ASSERT_EQUAL(200U, it.get().status);
        }
        const std::size_t calls = fleet.target("stage-1").batches() + fleet.target("stage-2").batches();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " batch calls for 48 pieces", calls <= 20);
        CPPUNIT_ASSERT(fleet.target("stage-1").maxBatchSize() <= 8 && fleet.target("stage-2").maxBatchSize() <= 8);
    }

    /// Guards against failed requests after all daemons restart while targets still process calls from the previous processes.
    void busyStageTargetsCostNoRequest()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.target("stage-1").setFault(Fault::Refuse, 5);
        fleet.target("stage-2").setFault(Fault::Refuse, 5);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("p1")).status);
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
                const SiteFleet::Response response = fleet.send(0, makeRequest("/streamed/x", "f" + name + number));
                CPPUNIT_ASSERT(response.complete);
                std::string expected;
                for (int it = 1; it <= 5; ++it) {
                    expected += "id: " + std::to_string(it) + "\ndata: f" + name + number + " \n\n";
                }
                CPPUNIT_ASSERT_EQUAL(expected, response.body);
            }
        }
    }

    void streamsThatMayNotGoOnDoNotLookWhole()
    {
        SiteFleet fleet(1);
        fleet.start();
        setFaults(fleet, Fault::Cut, 1);
        const SiteFleet::Response response = fleet.send(0, makeStagedRequest("g1"));
        CPPUNIT_ASSERT(!response.complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), executionCount(fleet, "g1"));
    }

    void takenKeysAndLeavingTargetsAreHeardOfThroughPeers()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.configure(2, R"("k2")");
        fleet.writeTarget("plain-1", "draining");
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.send(0, makeRequest("/safe/x", "h1")).status == 401; }));
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.send(1, makeRequest("/safe/x", "h2")).status == 401; }));
        SiteFleet::Request request = makeRequest("/once/x", "");
        request.apiKey = "k2";
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] {
            const std::size_t before = fleet.target("plain-1").arrivals();
            for (int n = 0; n < 6; ++n) {
                request.attemptId = "h3" + std::to_string(n);
                fleet.send(n % 2, request);
            }
            return fleet.target("plain-1").arrivals() == before;
        }));
    }

    /// Daemons 0 and 2 share a data centre: one reads the record store and the other fetches the records from it.
    void removalsAfterAnOutageReachThoseWhoReadThroughAPeer()
    {
        SiteFleet fleet(3);
        fleet.start();
        fleet.store().setOutage(true);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        fleet.store().setOutage(false);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
        fleet.removeTarget("plain-1");
        // Changes propagate within 1.2 s. A target whose record is missing is removed when the recovery period after an outage ends.
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
        const std::size_t before = fleet.target("plain-1").arrivals();
        for (int n = 0; n < 12; ++n) {
            fleet.send(n % 2 * 2, makeRequest("/safe/x", "u" + std::to_string(n)));
        }
        CPPUNIT_ASSERT_EQUAL(before, fleet.target("plain-1").arrivals());
    }

    void evacuatedDataCentresGetNothing()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.store().put("keyed.op", "evacuate/north", "{}");
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] {
            const std::size_t before = fleet.target("plain-1").arrivals();
            for (int n = 0; n < 6; ++n) {
                fleet.send(0, makeRequest("/safe/x", "i" + std::to_string(n)));
            }
            return fleet.target("plain-1").arrivals() == before;
        }));
        fleet.store().put("keyed.op", "evacuate/north", "");
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] {
            const std::size_t before = fleet.target("plain-1").arrivals();
            fleet.send(0, makeRequest("/safe/x", "i"));
            return fleet.target("plain-1").arrivals() > before;
        }));
    }

    void forgottenHistoryLosesNothing()
    {
        SiteFleet fleet(1);
        fleet.start();
        fleet.store().forget();
        fleet.configure(3, R"("k3")");
        fleet.removeTarget("plain-1");
        fleet.store().forget();
        SiteFleet::Request request = makeRequest("/safe/x", "j1");
        request.apiKey = "k3";
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.send(0, request).status == 200; }));
    }

    void daemonBornInAnOutageServes()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.killDaemon(1);
        fleet.store().setOutage(true);
        fleet.startDaemon(1);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.isReady(1); }));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(1, makeRequest("/safe/x", "k1")).status);
    }

    void plannedStopCutsNothing()
    {
        SiteFleet fleet(2);
        fleet.start();
        fleet.target("model-1").setServiceTime(std::chrono::milliseconds(150));
        fleet.target("model-2").setServiceTime(std::chrono::milliseconds(150));
        std::vector<std::future<SiteFleet::Response>> responses;
        for (int it = 0; it < 8; ++it) {
            responses.push_back(
                std::async(std::launch::async, [&fleet, it] { return fleet.send(it % 2, makeStagedRequest("l" + std::to_string(it))); }));
        }
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return executionCount(fleet, "l1") + executionCount(fleet, "l3") > 0; }));
        const auto stopped = std::async(std::launch::async, [&fleet] { return fleet.daemon(1).stop(); });
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return !fleet.isReady(1); }));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(1, makeRequest("/safe/x", "l-late")).status);
        for (auto &it : responses) {
            const SiteFleet::Response response = it.get();
            CPPUNIT_ASSERT(response.complete && response.status == 200);
        }
        stopped.wait();
    }

    /// The grace period is 4 s; the streams take 3 s and their route allows 4 s.
    void plannedStopRefusesWhatCannotEndInTime()
    {
        SiteFleet fleet(2);
        fleet.start();
        for (const std::string name : {"model-1", "model-2"}) {
            fleet.target(name).setServiceTime(std::chrono::milliseconds(600));
        }
        auto early = std::async(std::launch::async, [&fleet] { return fleet.send(1, makeStagedRequest("w1")); });
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return executionCount(fleet, "w1") > 0; }));
        auto stopped = std::async(std::launch::async, [&fleet] { return fleet.daemon(1).stop(); });
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return !fleet.isReady(1); }));
        std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
        const SiteFleet::Response late = fleet.send(1, makeStagedRequest("w2"));
        CPPUNIT_ASSERT_EQUAL(503U, late.status);
        CPPUNIT_ASSERT(late.complete && !late.retryAfter.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), executionCount(fleet, "w2"));
        CPPUNIT_ASSERT_EQUAL(200U, early.get().status);
        CPPUNIT_ASSERT(stopped.get());
    }

    /// No stage target is available, so the pieces wait until after the grace period.
    void plannedStopAnswersWhatWaitsForItsStages()
    {
        SiteFleet fleet(2);
        fleet.start();
        std::this_thread::sleep_for(std::chrono::milliseconds(2'200)); // Targets that vanish right after an outage remain in use.
        fleet.removeTarget("stage-1");
        fleet.removeTarget("stage-2");
        std::this_thread::sleep_for(std::chrono::milliseconds(1'200)); // Until the daemons have read the removal.
        const auto begin = std::chrono::steady_clock::now();
        auto waiting = std::async(std::launch::async, [&fleet] {
            SiteFleet::Request request = makeStagedRequest("x1");
            request.path = "/patient/x";
            return fleet.send(1, request);
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(fleet.daemon(1).stop());
        const SiteFleet::Response response = waiting.get();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 503U, response.status);
        CPPUNIT_ASSERT(response.complete);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(4'300));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), executionCount(fleet, "x1"));
    }

    /// Clients send until the daemon ends. Each request that a target executes is answered.
    void plannedStopAnswersWhatItPassesOn()
    {
        SiteFleet fleet(2);
        fleet.start();
        std::atomic<bool> ended{false};
        std::vector<std::future<std::vector<std::string>>> clients;
        for (int client = 0; client < 16; ++client) {
            clients.push_back(std::async(std::launch::async, [&fleet, &ended, client] {
                std::vector<std::string> unanswered;
                for (int n = 0; !ended; ++n) {
                    const std::string id = "y" + std::to_string(client) + "n" + std::to_string(n);
                    if (!fleet.send(1, makeRequest("/once/x", id)).complete) {
                        unanswered.push_back(id);
                    }
                }
                return unanswered;
            }));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(fleet.daemon(1).stop());
        fleet.killDaemon(1);
        ended = true;
        for (auto &client : clients) {
            for (const std::string &it : client.get()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::size_t(0), executionCount(fleet, it));
            }
        }
    }

    void inputBeyondTheLimitsIsRefused()
    {
        SiteFleet fleet(1);
        fleet.start();
        SiteFleet::Request large = makeRequest("/safe/x", "m1");
        large.headers = {{"X-Long", std::string(20'000, 'x')}};
        CPPUNIT_ASSERT_EQUAL(431U, fleet.send(0, large).status);
        SiteFleet::Request body = makeRequest("/safe/x", "m2");
        body.body = std::string(5 * 1024 * 1024, 'x');
        const unsigned status = fleet.send(0, body).status;
        CPPUNIT_ASSERT(status == 413 || status == 0);
        CPPUNIT_ASSERT_EQUAL(400U, fleet.send(0, makeRequest("/safe/x", "")).status);
        SiteFleet::Request pieces = makeStagedRequest("m3");
        pieces.headers.front().second = "1,4000000000";
        CPPUNIT_ASSERT_EQUAL(400U, fleet.send(0, pieces).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), executionCount(fleet, "m1") + executionCount(fleet, "m2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteTest);

} // namespace Guavalock

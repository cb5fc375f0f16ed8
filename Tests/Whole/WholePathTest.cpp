#include "Daemon/Daemon.h"
#include "Deployment.h"
#include "FakePlatform.h"
#include "FakeTarget.h"
#include "Kernel/WorkerPool.h"
#include "LoadGenerator.h"
#include "Net/HttpClient.h"
#include "Pipeline/DaemonContext.h"
#include "Tables/ConfigurationTable.h"
#include "Tables/RequestTable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <future>
#include <iostream>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Tests daemons under load and injected faults. Deployment::load also checks the invariants of every load.
class WholePathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WholePathTest);
    CPPUNIT_TEST(everyRequestGetsItsOwnAnswer);
    CPPUNIT_TEST(faultyAnswersReachNobodyElse);
    CPPUNIT_TEST(callersThatGoAwayStopTheWork);
    CPPUNIT_TEST(plannedStopCutsNothing);
    CPPUNIT_TEST(killedDaemonNeverLeadsToASecondRun);
    CPPUNIT_TEST(coldTargetBearsItsLoad);
    CPPUNIT_TEST(poisonCostsTwoTargetsAtMost);
    CPPUNIT_TEST(dataCentreOutGetsNoNewWork);
    CPPUNIT_TEST(platformOutageRefusesBookingsTruly);
    CPPUNIT_TEST(daemonBornInAnOutageLearnsFromAPeer);
    CPPUNIT_TEST(lostLogAnswersRunNothingTwice);
    CPPUNIT_TEST_SUITE_END();

    /// Returns the request count of the long test; GUAVALOCK_REQUESTS overrides it.
    static std::size_t longTestRequestCount()
    {
        const char *configuredCount = std::getenv("GUAVALOCK_REQUESTS");
        return configuredCount != nullptr ? std::strtoull(configuredCount, nullptr, 10) : 1'500;
    }

    static std::size_t refusalCount(LoadStatistics &statistics, unsigned code)
    {
        return statistics.refused.contains(code) ? statistics.refused[code] : 0;
    }

    static std::size_t callCountIn(Deployment &deployment, const std::string &dataCentre)
    {
        std::size_t calls = 0;
        for (const auto &[name, target] : deployment.targets()) {
            calls += name.ends_with("-" + dataCentre) ? target->counts().calls : 0;
        }
        return calls;
    }

public:
    void everyRequestGetsItsOwnAnswer()
    {
        Deployment deployment({.centres = {"north", "south"}});
        deployment.start();
        const auto generator = deployment.load({.requests = 300, .connections = 8});
        CPPUNIT_ASSERT_EQUAL(std::size_t(300), generator->tally().answered);
        CPPUNIT_ASSERT(generator->tally().streamed > 30);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), generator->tally().cut);
    }

    void faultyAnswersReachNobodyElse()
    {
        FakeFaults faults;
        faults.slow = 0.02;
        faults.fail = 0.02;
        faults.reject = 0.02;
        faults.drop = 0.02;
        faults.truncate = 0.02;
        faults.cross = 0.05;
        faults.swapEvent = 0.05;
        faults.duplicate = 0.05;
        Deployment deployment({.centres = {"north", "south"}, .faults = faults});
        deployment.start();
        const auto generator
            = deployment.load({.requests = longTestRequestCount(), .connections = 24, .disconnectShare = 0.02, .seed = 42});
        LoadStatistics &statistics = generator->tally();
        std::cout << "\nsent " << statistics.sent << ", complete responses " << statistics.answered << " (" << statistics.streamed
                  << " streamed), disconnected callers " << statistics.closed << ", resent " << statistics.resent << ", interrupted "
                  << statistics.cut << ", violations " << statistics.violations.size();
        for (const auto &[code, n] : statistics.refused) {
            std::cout << "\nrefused with " << code << ": " << n;
        }
        std::cout << std::endl;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), statistics.cut);
        CPPUNIT_ASSERT(statistics.answered > statistics.sent / 2);
    }

    void callersThatGoAwayStopTheWork()
    {
        Deployment deployment({.tokenTime = milliseconds(20)});
        deployment.start();
        deployment.load(
            {.requests = 40, .connections = 20, .bookingShare = 0, .disconnectShare = 1.0, .maxDisconnectDelay = milliseconds(300)});
        Deployment::waitFor("all requests to finish", [&] { return deployment.daemon(0).context().requests.inProgress() == 0; });
        Deployment::waitFor("cancellation at the engine", [&] { return deployment.target("engine-north").counts().cancelled > 0; });
    }

    void plannedStopCutsNothing()
    {
        Deployment deployment({.daemonsPerCentre = 2, .tokenTime = milliseconds(2)});
        deployment.start();
        std::future<bool> stopped = std::async(std::launch::async, [&] {
            Deployment::waitFor("requests in progress", [&] { return deployment.daemon(0).context().requests.inProgress() > 3; });
            return deployment.daemon(0).stop();
        });
        const auto generator = deployment.load({.requests = 1'200, .connections = 24});
        CPPUNIT_ASSERT(stopped.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), generator->tally().cut);
    }

    void killedDaemonNeverLeadsToASecondRun()
    {
        Deployment deployment({.centres = {"north", "south"}, .daemonsPerCentre = 2, .callTime = milliseconds(10)});
        deployment.start();
        std::future<void> killed = std::async(std::launch::async, [&] {
            Deployment::waitFor("requests in progress", [&] { return deployment.daemon(1).context().requests.inProgress() > 3; });
            deployment.killDaemon(1);
            deployment.killDaemon(2);
            deployment.startDaemon(1);
        });
        const auto generator = deployment.load({.requests = 600, .connections = 24, .bookingShare = 0.8, .resends = 4});
        killed.get();
        CPPUNIT_ASSERT(generator->tally().answered > 400);
    }

    void coldTargetBearsItsLoad()
    {
        Deployment deployment({.daemonsPerCentre = 2, .coldLimit = 3, .coldCalls = 30, .callTime = milliseconds(5)});
        deployment.start();
        const auto generator = deployment.load({.requests = 400, .connections = 24});
        CPPUNIT_ASSERT(generator->tally().answered > 0);
        CPPUNIT_ASSERT(deployment.target("engine-north").counts().maxConcurrent > 3);
    }

    void poisonCostsTwoTargetsAtMost()
    {
        Deployment deployment({.centres = {"north", "south", "west"}});
        deployment.start();
        std::future<std::unique_ptr<LoadGenerator>> regularLoad
            = std::async(std::launch::async, [&] { return deployment.load({.requests = 500, .connections = 8, .bookingShare = 0}); });
        for (int it = 0; it < 6; ++it) {
            sendChat(deployment, static_cast<std::size_t>(it) % 3, "POISON");
        }
        const std::unique_ptr<LoadGenerator> generator = regularLoad.get();
        std::size_t deaths = 0;
        for (const auto &[name, target] : deployment.targets()) {
            deaths += target->counts().deaths;
        }
        CPPUNIT_ASSERT(deaths >= 1);
        CPPUNIT_ASSERT(deaths <= 2);
        const std::string firstOutcome = generator->tally().history.empty() ? "" : generator->tally().history.begin()->second;
        CPPUNIT_ASSERT_MESSAGE(firstOutcome, generator->tally().answered > 450);
    }

    void dataCentreOutGetsNoNewWork()
    {
        Deployment deployment({.centres = {"north", "south"}});
        deployment.start();
        deployment.load({.requests = 50});
        deployment.put("data-centres/north", "service: out");
        Deployment::waitFor(
            "configuration on all daemons",
            [&] {
                return deployment.daemon(1).context().configuration.nextOffset()
                    == deployment.daemon(0).context().configuration.nextOffset();
            },
            milliseconds(3'000));
        const std::size_t before = callCountIn(deployment, "north");
        const auto whileOutOfService = deployment.load({.requests = 100, .seed = 2});
        CPPUNIT_ASSERT_EQUAL(before, callCountIn(deployment, "north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), whileOutOfService->tally().answered);
        deployment.put("data-centres/north", "service: in");
        const auto afterReturn = deployment.load({.requests = 100, .seed = 3});
        CPPUNIT_ASSERT(callCountIn(deployment, "north") > before);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), afterReturn->tally().answered);
    }

    void platformOutageRefusesBookingsTruly()
    {
        Deployment deployment({});
        deployment.start();
        deployment.platform().setOutage(true);
        const auto during = deployment.load({.requests = 12, .connections = 12, .bookingShare = 0.5, .resends = 0});
        CPPUNIT_ASSERT(refusalCount(during->tally(), 209) + refusalCount(during->tally(), 207) > 0);
        CPPUNIT_ASSERT(during->tally().answered > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.target("booking-north").counts().calls);
        deployment.platform().setOutage(false);
        Deployment::waitFor("bookings to succeed after the outage", [&] {
            static std::uint64_t seed = 100;
            return deployment.load({.requests = 2, .bookingShare = 1.0, .resends = 0, .seed = ++seed})->tally().answered == 2;
        });
    }

    void daemonBornInAnOutageLearnsFromAPeer()
    {
        Deployment deployment({.centres = {"north", "south"}});
        deployment.start();
        const std::uint64_t next = deployment.daemon(0).context().configuration.nextOffset();
        deployment.killDaemon(1);
        deployment.platform().setOutage(true);
        deployment.startDaemon(1);
        Deployment::waitFor("configuration", [&] { return deployment.daemon(1).context().configuration.nextOffset() == next; });
    }

    void lostLogAnswersRunNothingTwice()
    {
        Deployment deployment({.daemonsPerCentre = 2});
        deployment.start();
        deployment.platform().setResponseLossRate(0.3);
        const auto generator = deployment.load({.requests = 100, .connections = 16, .bookingShare = 1.0, .resends = 4});
        CPPUNIT_ASSERT(generator->tally().answered > 90);
    }

private:
    static void sendChat(Deployment &deployment, std::size_t daemon, const std::string &text)
    {
        const auto strand = boost::asio::make_strand(deployment.pool->executor());
        const auto caller = std::make_shared<HttpClient>(strand, deployment.callers()[daemon]);
        const HttpClient::Request request{"POST", "/v1/desk/chat", "{\"input\":\"" + text + "\"}", {{"X-Organisation", "mill"}}};
        auto send = [caller, request]() -> boost::asio::awaitable<void> {
            co_await caller->call(request, milliseconds(10'000));
        };
        boost::asio::co_spawn(strand, send, boost::asio::use_future).get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

} // namespace Guavalock

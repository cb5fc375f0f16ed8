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

/// Daemons under load and faults. Each load also checks what must hold after any; see Deployment::load.
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

    /// Returns how many requests the long test sends; the environment may ask for more.
    static std::size_t longRequests()
    {
        const char *asked = std::getenv("GUAVALOCK_REQUESTS");
        return asked != nullptr ? std::strtoull(asked, nullptr, 10) : 1'500;
    }

    static std::size_t refusedWith(LoadStatistics &tally, unsigned code)
    {
        return tally.refused.contains(code) ? tally.refused[code] : 0;
    }

    static std::size_t callsIn(Deployment &deployment, const std::string &centre)
    {
        std::size_t calls = 0;
        for (const auto &[name, target] : deployment.targets()) {
            calls += name.ends_with("-" + centre) ? target->counts().calls : 0;
        }
        return calls;
    }

public:
    void everyRequestGetsItsOwnAnswer()
    {
        Deployment deployment({.centres = {"north", "south"}});
        deployment.start();
        const auto driver = deployment.load({.requests = 300, .connections = 8});
        CPPUNIT_ASSERT_EQUAL(std::size_t(300), driver->tally().answered);
        CPPUNIT_ASSERT(driver->tally().streamed > 30);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver->tally().cut);
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
        const auto driver = deployment.load({.requests = longRequests(), .connections = 24, .disconnectShare = 0.02, .seed = 42});
        LoadStatistics &tally = driver->tally();
        std::cout << "\nsent " << tally.sent << ", whole answers " << tally.answered << " (" << tally.streamed
                  << " streamed), callers gone " << tally.closed << ", resent " << tally.resent << ", cut " << tally.cut << ", violations "
                  << tally.violations.size();
        for (const auto &[code, n] : tally.refused) {
            std::cout << "\nrefused with " << code << ": " << n;
        }
        std::cout << std::endl;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tally.cut);
        CPPUNIT_ASSERT(tally.answered > tally.sent / 2);
    }

    void callersThatGoAwayStopTheWork()
    {
        Deployment deployment({.tokenTime = milliseconds(20)});
        deployment.start();
        deployment.load(
            {.requests = 40, .connections = 20, .bookingShare = 0, .disconnectShare = 1.0, .maxDisconnectDelay = milliseconds(300)});
        Deployment::waitFor("no request in progress", [&] { return deployment.daemon(0).context().requests.inProgress() == 0; });
        Deployment::waitFor("engine told", [&] { return deployment.target("engine-north").counts().cancelled > 0; });
    }

    void plannedStopCutsNothing()
    {
        Deployment deployment({.daemonsPerCentre = 2, .tokenTime = milliseconds(2)});
        deployment.start();
        std::future<bool> stopped = std::async(std::launch::async, [&] {
            Deployment::waitFor("load", [&] { return deployment.daemon(0).context().requests.inProgress() > 3; });
            return deployment.daemon(0).stop();
        });
        const auto driver = deployment.load({.requests = 1'200, .connections = 24});
        CPPUNIT_ASSERT(stopped.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver->tally().cut);
    }

    void killedDaemonNeverLeadsToASecondRun()
    {
        Deployment deployment({.centres = {"north", "south"}, .daemonsPerCentre = 2, .callTime = milliseconds(10)});
        deployment.start();
        std::future<void> killed = std::async(std::launch::async, [&] {
            Deployment::waitFor("load", [&] { return deployment.daemon(1).context().requests.inProgress() > 3; });
            deployment.killDaemon(1);
            deployment.killDaemon(2);
            deployment.startDaemon(1);
        });
        const auto driver = deployment.load({.requests = 600, .connections = 24, .bookingShare = 0.8, .resends = 4});
        killed.get();
        CPPUNIT_ASSERT(driver->tally().answered > 400);
    }

    void coldTargetBearsItsLoad()
    {
        Deployment deployment({.daemonsPerCentre = 2, .coldLimit = 3, .coldCalls = 30, .callTime = milliseconds(5)});
        deployment.start();
        const auto driver = deployment.load({.requests = 400, .connections = 24});
        CPPUNIT_ASSERT(driver->tally().answered > 0);
        CPPUNIT_ASSERT(deployment.target("engine-north").counts().maxConcurrent > 3);
    }

    void poisonCostsTwoTargetsAtMost()
    {
        Deployment deployment({.centres = {"north", "south", "west"}});
        deployment.start();
        std::future<std::unique_ptr<LoadGenerator>> innocents
            = std::async(std::launch::async, [&] { return deployment.load({.requests = 500, .connections = 8, .bookingShare = 0}); });
        for (int it = 0; it < 6; ++it) {
            sendChat(deployment, static_cast<std::size_t>(it) % 3, "POISON");
        }
        const std::unique_ptr<LoadGenerator> driver = innocents.get();
        std::size_t deaths = 0;
        for (const auto &[name, target] : deployment.targets()) {
            deaths += target->counts().deaths;
        }
        CPPUNIT_ASSERT(deaths >= 1);
        CPPUNIT_ASSERT(deaths <= 2);
        const std::string first = driver->tally().history.empty() ? "" : driver->tally().history.begin()->second;
        CPPUNIT_ASSERT_MESSAGE(first, driver->tally().answered > 450);
    }

    void dataCentreOutGetsNoNewWork()
    {
        Deployment deployment({.centres = {"north", "south"}});
        deployment.start();
        deployment.load({.requests = 50});
        deployment.put("data-centres/north", "service: out");
        Deployment::waitFor(
            "in force everywhere",
            [&] {
                return deployment.daemon(1).context().configuration.nextOffset()
                    == deployment.daemon(0).context().configuration.nextOffset();
            },
            milliseconds(3'000));
        const std::size_t before = callsIn(deployment, "north");
        const auto out = deployment.load({.requests = 100, .seed = 2});
        CPPUNIT_ASSERT_EQUAL(before, callsIn(deployment, "north"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), out->tally().answered);
        deployment.put("data-centres/north", "service: in");
        const auto back = deployment.load({.requests = 100, .seed = 3});
        CPPUNIT_ASSERT(callsIn(deployment, "north") > before);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), back->tally().answered);
    }

    void platformOutageRefusesBookingsTruly()
    {
        Deployment deployment({});
        deployment.start();
        deployment.platform().setOutage(true);
        const auto during = deployment.load({.requests = 12, .connections = 12, .bookingShare = 0.5, .resends = 0});
        CPPUNIT_ASSERT(refusedWith(during->tally(), 209) + refusedWith(during->tally(), 207) > 0);
        CPPUNIT_ASSERT(during->tally().answered > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.target("booking-north").counts().calls);
        deployment.platform().setOutage(false);
        Deployment::waitFor("bookings again", [&] {
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
        const auto driver = deployment.load({.requests = 100, .connections = 16, .bookingShare = 1.0, .resends = 4});
        CPPUNIT_ASSERT(driver->tally().answered > 90);
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

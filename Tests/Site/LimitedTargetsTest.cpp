#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Tests site daemons against targets that limit the requests from all of them together.
class LimitedTargetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitedTargetsTest);
    CPPUNIT_TEST(targetsGetNoMoreThanTheirLimitFromAllDaemonsTogether);
    CPPUNIT_TEST(targetsWhoseLimitIsLiftedServeAsBefore);
    CPPUNIT_TEST(daemonsThatStartLearnLimitsFromOthers);
    CPPUNIT_TEST(requestsAreRefusedAtOnceWhileNoTurnComesInTime);
    CPPUNIT_TEST(stagesDoNotRunForRequestsThatNoTargetTakes);
    CPPUNIT_TEST(stageTargetsGetNoMoreThanTheirLimit);
    CPPUNIT_TEST_SUITE_END();

    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr std::size_t daemons = 6;

    /// Sends requests to all daemons, one after the other for each, until the time has passed.
    static void sendFor(const SiteFleet &fleet, const std::string &path, milliseconds duration)
    {
        const TimePoint end = std::chrono::steady_clock::now() + duration;
        std::vector<std::thread> threads;
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            threads.emplace_back([&, daemon] {
                for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
                    fleet.send(daemon, SiteFleet::makeRequest(path, "r" + std::to_string(daemon) + "." + std::to_string(n)));
                    std::this_thread::sleep_for(milliseconds(50));
                }
            });
        }
        for (std::thread &it : threads) {
            it.join();
        }
    }

    static SiteFleet::Request makeStagedRequest(const std::string &id)
    {
        SiteFleet::Request request = SiteFleet::makeRequest("/patient/stream", id);
        request.headers = {{"X-Guavalock-Chunk-Count", "1,1"}, {"X-Guavalock-Chunk-Key", "key"}};
        return request;
    }

    /// Waits until a daemon knows the others.
    static void waitForDiscovery()
    {
        std::this_thread::sleep_for(milliseconds(4'000));
    }

    /// Returns the largest number of arrivals after a time within any window of the given length.
    static std::size_t mostArrivals(std::vector<TimePoint> arrivals, TimePoint after, milliseconds window)
    {
        std::erase_if(arrivals, [&](TimePoint it) { return it < after; });
        std::ranges::sort(arrivals);
        std::size_t most = 0;
        for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
            most = std::max(most, static_cast<std::size_t>(std::ranges::lower_bound(it, arrivals.end(), *it + window) - it));
        }
        return most;
    }

public:
    /// The users' rule: in 4 s at most one and a half times what the limit allows, and 5 requests, from 3 s after it was first stated.
    void targetsGetNoMoreThanTheirLimitFromAllDaemonsTogether()
    {
        SiteFleet fleet(daemons);
        fleet.start();
        FakeFleetTarget &plain = fleet.target("plain-1");
        plain.setLimit("2");
        const TimePoint stated = std::chrono::steady_clock::now();
        sendFor(fleet, "/safe/x", milliseconds(9'000));
        const std::size_t most = mostArrivals(plain.arrivalTimes(), stated + milliseconds(3'000), milliseconds(4'000));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s", most <= 17);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in 4 s", most >= 4);
    }

    void targetsWhoseLimitIsLiftedServeAsBefore()
    {
        SiteFleet fleet(daemons);
        fleet.start();
        FakeFleetTarget &plain = fleet.target("plain-1");
        plain.setLimit("1");
        sendFor(fleet, "/safe/x", milliseconds(4'000));
        plain.setLimit("");
        sendFor(fleet, "/safe/x", milliseconds(3'000));
        const TimePoint now = std::chrono::steady_clock::now();
        sendFor(fleet, "/safe/x", milliseconds(1'000));
        CPPUNIT_ASSERT(mostArrivals(plain.arrivalTimes(), now, milliseconds(1'000)) > 20);
    }

    void daemonsThatStartLearnLimitsFromOthers()
    {
        SiteFleet fleet(2);
        fleet.start();
        FakeFleetTarget &plain = fleet.target("plain-1");
        plain.setLimit("0");
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] {
            fleet.send(0, SiteFleet::makeRequest("/safe/x", "first"));
            return plain.arrivals() > 0;
        }));
        fleet.killDaemon(1);
        fleet.startDaemon(1);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.isReady(1); }));
        waitForDiscovery();
        const std::size_t arrivals = plain.arrivals();
        for (int it = 0; it < 20; ++it) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(1, SiteFleet::makeRequest("/safe/x", "later" + std::to_string(it))).status);
        }
        CPPUNIT_ASSERT(plain.arrivals() <= arrivals + 1);
    }

    /// The latency objective of the route is 300 ms.
    void requestsAreRefusedAtOnceWhileNoTurnComesInTime()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        fleet.target("plain-1").setLimit("0.5");
        waitForDiscovery();
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, SiteFleet::makeRequest("/safe/x", "first")).status);
        const TimePoint start = std::chrono::steady_clock::now();
        const SiteFleet::Response refusal = fleet.send(0, SiteFleet::makeRequest("/safe/x", "second"));
        CPPUNIT_ASSERT_EQUAL(503U, refusal.status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(200));
        const double retryAfter = std::stod(refusal.retryAfter);
        CPPUNIT_ASSERT(retryAfter > 1 && retryAfter < 2.6);
        std::this_thread::sleep_for(milliseconds(static_cast<int>(1'000 * retryAfter)));
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, SiteFleet::makeRequest("/safe/x", "third")).status);
    }

    /// The latency objective of the route is 6 s.
    void stagesDoNotRunForRequestsThatNoTargetTakes()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        fleet.target("model-1").setLimit("0.1");
        waitForDiscovery();
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("first")).status);
        const auto countBatches = [&] {
            return fleet.target("stage-1").batches() + fleet.target("stage-2").batches();
        };
        const std::size_t batches = countBatches();
        const SiteFleet::Response refusal = fleet.send(0, makeStagedRequest("second"));
        CPPUNIT_ASSERT_EQUAL(503U, refusal.status);
        CPPUNIT_ASSERT(std::stod(refusal.retryAfter) > 6);
        CPPUNIT_ASSERT_EQUAL(batches, countBatches());
    }

    void stageTargetsGetNoMoreThanTheirLimit()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const std::string name : {"stage-1", "stage-2"}) {
            fleet.target(name).setLimit("2");
        }
        const TimePoint stated = std::chrono::steady_clock::now();
        const TimePoint end = stated + milliseconds(8'000);
        std::vector<std::thread> clients;
        std::atomic<std::size_t> served{0};
        for (int client = 0; client < 8; ++client) {
            clients.emplace_back([&, client] {
                for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
                    const std::string id = "r" + std::to_string(client) + "." + std::to_string(n);
                    served += fleet.send(0, makeStagedRequest(id)).status == 200 ? 1 : 0;
                }
            });
        }
        for (std::thread &it : clients) {
            it.join();
        }
        for (const std::string name : {"stage-1", "stage-2"}) {
            const std::size_t most = mostArrivals(fleet.target(name).arrivalTimes(), stated + milliseconds(3'000), milliseconds(4'000));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " calls in 4 s", most <= 17);
        }
        CPPUNIT_ASSERT(served > 8);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedTargetsTest);

} // namespace Guavalock

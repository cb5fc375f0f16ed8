#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <thread>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Tests a planned stop while targets become slower than they were before.
class PlannedStopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannedStopTest);
    CPPUNIT_TEST(lateStreamsAreNotAcceptedOnPastDurations);
    CPPUNIT_TEST(requestsThatWaitedTooLongAreNotStarted);
    CPPUNIT_TEST(requestsThatWaitedForAShortTimeAreAnswered);
    CPPUNIT_TEST(requestsAreJudgedWhenTheyAreWhole);
    CPPUNIT_TEST(repeatsThatOutlastTheStopAreNotSent);
    CPPUNIT_TEST(connectionsAreNotClosedUnannounced);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds gracePeriod{8'000};

    static SiteFleet::Request makeRequest(const std::string &path, const std::string &id)
    {
        SiteFleet::Request request;
        request.path = path;
        request.attemptId = id;
        return request;
    }

    /// A stream has five events.
    static void setTimePerEvent(SiteFleet &fleet, milliseconds time)
    {
        fleet.target("model-1").setServiceTime(time);
        fleet.target("model-2").setServiceTime(time);
    }

    static std::size_t executionCount(SiteFleet &fleet, const std::string &id)
    {
        std::size_t total = 0;
        for (const std::string name : {"model-1", "model-2"}) {
            const auto executions = fleet.target(name).runs();
            total += executions.contains(id) ? executions.at(id) : 0;
        }
        return total;
    }

    /// Stops a daemon as its process does: what is left at the end is cut. Returns whether nothing was left.
    static std::future<bool> stopDaemon(SiteFleet &fleet)
    {
        return std::async(std::launch::async, [&fleet] {
            const bool stopped = fleet.daemon(1).stop();
            fleet.killDaemon(1);
            return stopped;
        });
    }

    /// Lets the daemon learn how long the streams of a route take.
    static void sendStreams(SiteFleet &fleet, const std::string &path, int count)
    {
        std::vector<std::future<SiteFleet::Response>> responses;
        for (int n = 0; n < count; ++n) {
            const SiteFleet::Request request = makeRequest(path, "before-" + std::to_string(n));
            responses.push_back(std::async(std::launch::async, [&fleet, request] { return fleet.send(1, request); }));
        }
        for (auto &it : responses) {
            CPPUNIT_ASSERT_EQUAL(200U, it.get().status);
        }
    }

public:
    void lateStreamsAreNotAcceptedOnPastDurations()
    {
        SiteFleet fleet(2);
        fleet.setGracePeriod(gracePeriod);
        fleet.start();
        sendStreams(fleet, "/brisk-stream/x", 8);
        auto stopped = stopDaemon(fleet);
        std::this_thread::sleep_for(milliseconds(2'800));
        setTimePerEvent(fleet, milliseconds(1'200));
        const SiteFleet::Response late = fleet.send(1, makeRequest("/brisk-stream/x", "late"));
        CPPUNIT_ASSERT_MESSAGE("the stream was cut", late.complete);
        CPPUNIT_ASSERT_EQUAL(503U, late.status);
        CPPUNIT_ASSERT(!late.retryAfter.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), executionCount(fleet, "late"));
        CPPUNIT_ASSERT(stopped.get());
    }

    /// The request finds no target for most of the grace period. The run of 2.5 s would outlast the rest.
    void requestsThatWaitedTooLongAreNotStarted()
    {
        SiteFleet fleet(2);
        fleet.setGracePeriod(gracePeriod);
        fleet.start();
        setTimePerEvent(fleet, milliseconds(500));
        sendStreams(fleet, "/patient/stream", 8);
        fleet.removeTarget("model-1");
        fleet.removeTarget("model-2");
        std::this_thread::sleep_for(milliseconds(1'200)); // Until the daemons have read the removal.
        auto stopped = stopDaemon(fleet);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return !fleet.isReady(1); }));
        auto waiting = std::async(std::launch::async, [&fleet] { return fleet.send(1, makeRequest("/patient/stream", "waiting")); });
        CPPUNIT_ASSERT(waiting.wait_for(milliseconds(2'000)) == std::future_status::timeout);
        std::this_thread::sleep_for(milliseconds(3'500));
        fleet.writeTarget("model-1", "ready");
        const SiteFleet::Response response = waiting.get();
        CPPUNIT_ASSERT_MESSAGE("the stream was cut", response.complete);
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), executionCount(fleet, "waiting"));
        CPPUNIT_ASSERT(stopped.get());
    }

    void requestsThatWaitedForAShortTimeAreAnswered()
    {
        SiteFleet fleet(2);
        fleet.setGracePeriod(gracePeriod);
        fleet.start();
        setTimePerEvent(fleet, milliseconds(200));
        sendStreams(fleet, "/patient/stream", 8);
        fleet.removeTarget("model-1");
        fleet.removeTarget("model-2");
        std::this_thread::sleep_for(milliseconds(1'200)); // Until the daemons have read the removal.
        auto stopped = stopDaemon(fleet);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return !fleet.isReady(1); }));
        auto waiting = std::async(std::launch::async, [&fleet] { return fleet.send(1, makeRequest("/patient/stream", "waiting")); });
        std::this_thread::sleep_for(milliseconds(2'000));
        fleet.writeTarget("model-1", "ready");
        const SiteFleet::Response response = waiting.get();
        CPPUNIT_ASSERT(response.complete);
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT(stopped.get());
    }

    /// The head of the request arrives 1.9 s after the stop began, the end of its body a second later.
    void requestsAreJudgedWhenTheyAreWhole()
    {
        SiteFleet fleet(2);
        fleet.setGracePeriod(gracePeriod);
        fleet.start();
        sendStreams(fleet, "/brisk-stream/x", 8);
        auto stopped = stopDaemon(fleet);
        std::this_thread::sleep_for(milliseconds(1'900));
        setTimePerEvent(fleet, milliseconds(1'200));
        SiteFleet::Request request = makeRequest("/brisk-stream/x", "slow");
        request.body = "body";
        request.bodyDelay = milliseconds(1'000);
        const SiteFleet::Response response = fleet.send(1, request);
        CPPUNIT_ASSERT_MESSAGE("the stream was cut", response.complete);
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), executionCount(fleet, "slow"));
        CPPUNIT_ASSERT(stopped.get());
    }

    /// The first target closes the connection 5.7 s after the stop began. A run takes 2.5 s.
    void repeatsThatOutlastTheStopAreNotSent()
    {
        SiteFleet fleet(2);
        fleet.setGracePeriod(gracePeriod);
        fleet.start();
        setTimePerEvent(fleet, milliseconds(500));
        sendStreams(fleet, "/lasting-stream/x", 8);
        auto stopped = stopDaemon(fleet);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return !fleet.isReady(1); }));
        setTimePerEvent(fleet, milliseconds(5'700));
        for (const std::string name : {"model-1", "model-2"}) {
            fleet.target(name).setFault(FakeFleetTarget::Fault::Reset, 1);
        }
        auto repeated = std::async(std::launch::async, [&fleet] { return fleet.send(1, makeRequest("/lasting-stream/x", "repeated")); });
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return executionCount(fleet, "repeated") > 0; }));
        std::this_thread::sleep_for(milliseconds(200));
        setTimePerEvent(fleet, milliseconds(500));
        for (const std::string name : {"model-1", "model-2"}) {
            fleet.target(name).setFault(FakeFleetTarget::Fault::None, 0);
        }
        const SiteFleet::Response response = repeated.get();
        CPPUNIT_ASSERT_MESSAGE("the stream was cut", response.complete);
        CPPUNIT_ASSERT_EQUAL(504U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), executionCount(fleet, "repeated"));
        CPPUNIT_ASSERT(stopped.get());
    }

    /// The head of a stream that begins before a stop announces no end of its connection, so its client may send the next request there.
    /// The daemon closed the connection after the stream, and the next request ended without an answer.
    void connectionsAreNotClosedUnannounced()
    {
        SiteFleet fleet(2);
        fleet.setGracePeriod(gracePeriod);
        fleet.start();
        setTimePerEvent(fleet, milliseconds(200));
        auto responses = std::async(std::launch::async, [&] {
            return fleet.sendOnOneConnection(1, {makeRequest("/brisk-stream/x", "first"), makeRequest("/safe/x", "second")});
        });
        std::this_thread::sleep_for(milliseconds(500));
        std::future<bool> stopped = stopDaemon(fleet);
        const std::vector<SiteFleet::Response> received = responses.get();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), received.size());
        CPPUNIT_ASSERT(received[0].complete);
        CPPUNIT_ASSERT_MESSAGE("the second request was cut", received[1].complete);
        CPPUNIT_ASSERT(received[1].status == 200 || received[1].status == 503);
        CPPUNIT_ASSERT(!received[1].keepsConnection);
        CPPUNIT_ASSERT(stopped.get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

} // namespace Guavalock

#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Tests site daemons against targets that state in their responses that they leave or want a pause.
class LeavingTargetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTargetsTest);
    CPPUNIT_TEST(leavingTargetsGetNoFurtherRequests);
    CPPUNIT_TEST(streamsSayThatATargetLeavesWhenTheyStart);
    CPPUNIT_TEST(responsesOfOtherRequestsProveNothing);
    CPPUNIT_TEST(pausedTargetsGetNothingUntilThePauseEnds);
    CPPUNIT_TEST(requestsAreRefusedWhileAllTargetsArePaused);
    CPPUNIT_TEST(requestsWaitForAShortPause);
    CPPUNIT_TEST(leavingStageTargetsGetNoFurtherCalls);
    CPPUNIT_TEST(pausedStageTargetsGetNoCalls);
    CPPUNIT_TEST(responsesToFreeCallsSayThatATargetLeaves);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    static SiteFleet::Request makeStagedRequest(const std::string &id)
    {
        SiteFleet::Request request = SiteFleet::makeRequest("/patient/stream", id);
        request.headers = {{"X-Guavalock-Chunk-Count", "1,1"}, {"X-Guavalock-Chunk-Key", "key"}};
        return request;
    }

    /// Sends requests until one has reached the target.
    static void sendUntilReached(const SiteFleet &fleet, const FakeFleetTarget &target, const std::string &path)
    {
        const std::size_t before = target.arrivals();
        for (int it = 0; it < 100 && target.arrivals() == before; ++it) {
            fleet.send(0, SiteFleet::makeRequest(path, "reach" + std::to_string(it)));
        }
        CPPUNIT_ASSERT(target.arrivals() > before);
    }

    static void sendAndExpect(const SiteFleet &fleet, const std::string &path, const std::string &id, unsigned status)
    {
        CPPUNIT_ASSERT_EQUAL(status, fleet.send(0, SiteFleet::makeRequest(path, id)).status);
    }

public:
    /// Neither a record that still says "ready" nor an outage of the store brings the target back.
    void leavingTargetsGetNoFurtherRequests()
    {
        SiteFleet fleet(1);
        fleet.start();
        FakeFleetTarget &plain = fleet.target("plain-1");
        plain.setLeaving(true);
        sendUntilReached(fleet, plain, "/safe/x");
        const std::size_t arrivals = plain.arrivals();
        fleet.writeTarget("plain-1", "ready");
        for (int it = 0; it < 20; ++it) {
            sendAndExpect(fleet, "/safe/x", "a" + std::to_string(it), 200);
        }
        fleet.store().setOutage(true);
        for (int it = 0; it < 20; ++it) {
            sendAndExpect(fleet, "/safe/x", "b" + std::to_string(it), 200);
        }
        CPPUNIT_ASSERT_EQUAL(arrivals, plain.arrivals());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.counter(0, "target_statements_total{statement=\"leaving\"}"));
        fleet.target("plain-2").setLeaving(true);
        sendAndExpect(fleet, "/safe/x", "last", 200);
        const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest("/safe/x", "refused"));
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(!response.retryAfter.empty());
        CPPUNIT_ASSERT_EQUAL(arrivals, plain.arrivals());
    }

    /// The stream lasts while the other requests are sent.
    void streamsSayThatATargetLeavesWhenTheyStart()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        FakeFleetTarget &model = fleet.target("model-1");
        model.setLeaving(true);
        model.setServiceTime(milliseconds(300));
        std::thread stream([&] { sendAndExpect(fleet, "/lasting-stream/x", "long", 200); });
        const bool heard = SiteFleet::waitFor([&] { return fleet.counter(0, "target_statements_total{statement=\"leaving\"}") == 1; });
        const std::size_t arrivals = model.arrivals();
        const unsigned status = fleet.send(0, SiteFleet::makeRequest("/lasting-stream/x", "later")).status;
        const bool isRunning = model.arrivals() == 1 && fleet.counter(0, "request_seconds_count") < 2;
        stream.join();
        CPPUNIT_ASSERT(heard && isRunning);
        CPPUNIT_ASSERT_EQUAL(503U, status);
        CPPUNIT_ASSERT_EQUAL(arrivals, model.arrivals());
    }

    void responsesOfOtherRequestsProveNothing()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        FakeFleetTarget &plain = fleet.target("plain-1");
        plain.setLeaving(true);
        plain.setFaults({Fault::Foreign, Fault::Foreign});
        fleet.send(0, SiteFleet::makeRequest("/safe/x", "foreign"));
        plain.setLeaving(false);
        plain.setFaults({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.counter(0, "target_statements_total{statement=\"leaving\"}"));
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.send(0, SiteFleet::makeRequest("/safe/x", "own")).status == 200; }));
    }

    void pausedTargetsGetNothingUntilThePauseEnds()
    {
        SiteFleet fleet(1);
        fleet.start();
        FakeFleetTarget &plain = fleet.target("plain-1");
        plain.setPause(milliseconds(1'500));
        sendUntilReached(fleet, plain, "/safe/x");
        const auto refusedAt = std::chrono::steady_clock::now();
        const std::size_t arrivals = plain.arrivals();
        plain.setPause(milliseconds(0));
        int n = 0;
        while (std::chrono::steady_clock::now() - refusedAt < milliseconds(1'300)) {
            sendAndExpect(fleet, "/safe/x", "a" + std::to_string(++n), 200);
            CPPUNIT_ASSERT_EQUAL(arrivals, plain.arrivals());
        }
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] {
            sendAndExpect(fleet, "/safe/x", "b" + std::to_string(++n), 200);
            return plain.arrivals() > arrivals;
        }));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - refusedAt > milliseconds(1'400));
    }

    /// The latency objective of the route is 300 ms.
    void requestsAreRefusedWhileAllTargetsArePaused()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        FakeFleetTarget &plain = fleet.target("plain-1");
        plain.setPause(milliseconds(3'000));
        sendAndExpect(fleet, "/safe/x", "first", 503);
        plain.setPause(milliseconds(0));
        const auto start = std::chrono::steady_clock::now();
        const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest("/safe/x", "second"));
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < milliseconds(200));
        const double retryAfter = std::stod(response.retryAfter);
        CPPUNIT_ASSERT(retryAfter > 2 && retryAfter < 3.6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), plain.arrivals());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.executionCount("second"));
    }

    /// The latency objective of the route is 12 s.
    void requestsWaitForAShortPause()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        FakeFleetTarget &model = fleet.target("model-1");
        model.setPause(milliseconds(700));
        fleet.send(0, SiteFleet::makeRequest("/brisk-stream/x", "first"));
        const std::size_t arrivals = model.arrivals();
        model.setPause(milliseconds(0));
        sendAndExpect(fleet, "/lasting-stream/x", "second", 200);
        CPPUNIT_ASSERT_EQUAL(arrivals + 1, model.arrivals());
    }

    void leavingStageTargetsGetNoFurtherCalls()
    {
        SiteFleet fleet(1);
        fleet.start();
        FakeFleetTarget &stage = fleet.target("stage-1");
        stage.setLeaving(true);
        int n = 0;
        while (stage.batches() == 0 && n < 100) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("a" + std::to_string(++n))).status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stage.batches());
        const std::size_t arrivals = stage.arrivals();
        for (int it = 0; it < 10; ++it) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("b" + std::to_string(it))).status);
        }
        CPPUNIT_ASSERT_EQUAL(arrivals, stage.arrivals());
    }

    void pausedStageTargetsGetNoCalls()
    {
        SiteFleet fleet(1);
        fleet.start();
        FakeFleetTarget &stage = fleet.target("stage-1");
        stage.setPause(milliseconds(2'000));
        int n = 0;
        while (stage.arrivals() == 0 && n < 100) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("a" + std::to_string(++n))).status);
        }
        const auto refusedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stage.arrivals());
        while (std::chrono::steady_clock::now() - refusedAt < milliseconds(1'000)) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("b" + std::to_string(++n))).status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stage.arrivals());
    }

    /// The results are freed when the model target sends its first event, after the stage target has begun to leave.
    void responsesToFreeCallsSayThatATargetLeaves()
    {
        SiteFleet fleet(1);
        fleet.start({"stage-2"});
        FakeFleetTarget &stage = fleet.target("stage-1");
        fleet.target("model-1").setServiceTime(milliseconds(400));
        fleet.target("model-2").setServiceTime(milliseconds(400));
        unsigned status = 0;
        std::thread request([&] { status = fleet.send(0, makeStagedRequest("a")).status; });
        const bool staged = SiteFleet::waitFor([&] { return stage.batches() == 2; });
        stage.setLeaving(true);
        request.join();
        CPPUNIT_ASSERT(staged);
        CPPUNIT_ASSERT_EQUAL(200U, status);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.counter(0, "target_statements_total{statement=\"leaving\"}") == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), stage.arrivals());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTargetsTest);

} // namespace Guavalock

#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <future>
#include <thread>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests how daemons treat parts of prompts that crash every target that begins to respond to them.
class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(partsThatCrashTargetsReachFewOfThem);
    CPPUNIT_TEST(restartedDaemonsRefuseQuarantinedParts);
    CPPUNIT_TEST(lostConnectionsAloneQuarantineNothing);
    CPPUNIT_TEST_SUITE_END();

    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr milliseconds downTime{700};

    static SiteFleet::Request makeRequest(const std::string &id, const std::string &part)
    {
        SiteFleet::Request request;
        request.path = "/streamed/x";
        request.attemptId = id;
        request.body = "body of " + id;
        request.headers = {{"X-Guavalock-Prefix-Hash", "aa:100," + part + ":50," + id + ":20"}, {"X-Guavalock-Token-Usage", "170,20"}};
        return request;
    }

    static std::vector<TimePoint> collect(SiteFleet &fleet, std::vector<TimePoint> (FakeFleetTarget::*times)() const)
    {
        std::vector<TimePoint> all;
        for (const std::string name : {"model-1", "model-2"}) {
            const std::vector<TimePoint> found = (fleet.target(name).*times)();
            all.insert(all.end(), found.begin(), found.end());
        }
        std::ranges::sort(all);
        return all;
    }

    static void crashOnPart(SiteFleet &fleet, const std::string &part)
    {
        for (const std::string name : {"model-1", "model-2"}) {
            fleet.target(name).setServiceTime(milliseconds(60));
            fleet.target(name).crashOn(part, downTime);
        }
    }

    /// Sends sound requests to a daemon for a time. Returns when each was sent and whether it was answered.
    static std::vector<std::pair<TimePoint, bool>> sendSoundRequests(SiteFleet &fleet, std::size_t daemon, seconds time)
    {
        const TimePoint end = std::chrono::steady_clock::now() + time;
        std::vector<std::pair<TimePoint, bool>> sent;
        while (std::chrono::steady_clock::now() < end) {
            const std::string id = "sound" + std::to_string(daemon) + "n" + std::to_string(sent.size());
            const TimePoint now = std::chrono::steady_clock::now();
            const SiteFleet::Response response = fleet.send(daemon, makeRequest(id, "group" + std::to_string(sent.size() % 4)));
            sent.emplace_back(now, response.complete && response.status == 200);
            std::this_thread::sleep_for(milliseconds(40));
        }
        return sent;
    }

public:
    /// No more than three requests with the part reach targets later than 3 s after the fifth crash, and sound ones go on 3 s later.
    void partsThatCrashTargetsReachFewOfThem()
    {
        SiteFleet fleet(3);
        fleet.start();
        crashOnPart(fleet, "deadly");
        std::vector<std::future<std::vector<std::pair<TimePoint, bool>>>> clients;
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            clients.push_back(std::async(std::launch::async, [&fleet, daemon] { return sendSoundRequests(fleet, daemon, seconds(14)); }));
        }
        for (int n = 0; n < 34; ++n) {
            fleet.send(static_cast<std::size_t>(n) % 3, makeRequest("faulty" + std::to_string(n), "deadly"));
            std::this_thread::sleep_for(milliseconds(400));
        }
        const std::vector<TimePoint> crashes = collect(fleet, &FakeFleetTarget::crashes);
        CPPUNIT_ASSERT(!crashes.empty());
        const TimePoint bound = crashes[std::min<std::size_t>(crashes.size(), 5) - 1] + seconds(3);
        const std::vector<TimePoint> arrivals = collect(fleet, &FakeFleetTarget::partArrivals);
        const auto late = std::ranges::count_if(arrivals, [&](TimePoint it) { return it > bound; });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(crashes.size()) + " crashes, " + std::to_string(late) + " late sends", late <= 3);
        const SiteFleet::Response refused = fleet.send(0, makeRequest("last", "deadly"));
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(!refused.retryAfter.empty());
        std::size_t sent = 0;
        std::size_t answered = 0;
        for (auto &client : clients) {
            for (const auto &[time, isAnswered] : client.get()) {
                sent += time > bound + seconds(3) ? 1 : 0;
                answered += time > bound + seconds(3) && isAnswered ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(sent > 20);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answered) + " of " + std::to_string(sent) + " sound requests", 2 * answered >= sent);
    }

    void restartedDaemonsRefuseQuarantinedParts()
    {
        SiteFleet fleet(2);
        fleet.start();
        crashOnPart(fleet, "deadly");
        for (int n = 0; n < 8; ++n) {
            fleet.send(0, makeRequest("faulty" + std::to_string(n), "deadly"));
            std::this_thread::sleep_for(milliseconds(500));
            fleet.send(0, makeRequest("sound" + std::to_string(n), "group"));
        }
        fleet.killDaemon(1);
        fleet.startDaemon(1);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.isReady(1); }));
        std::this_thread::sleep_for(seconds(1)); // Until it is linked.
        const std::size_t arrived = collect(fleet, &FakeFleetTarget::partArrivals).size();
        CPPUNIT_ASSERT_EQUAL(503U, fleet.send(1, makeRequest("again", "deadly")).status);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(1, makeRequest("sound", "group")).status);
        CPPUNIT_ASSERT_EQUAL(arrived, collect(fleet, &FakeFleetTarget::partArrivals).size());
    }

    void lostConnectionsAloneQuarantineNothing()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (int n = 0; n < 10; ++n) {
            for (const std::string name : {"model-1", "model-2"}) {
                fleet.target(name).setFault(FakeFleetTarget::Fault::Reset, 1);
            }
            fleet.send(0, makeRequest("reset" + std::to_string(n), "part"));
            std::this_thread::sleep_for(milliseconds(300));
        }
        for (const std::string name : {"model-1", "model-2"}) {
            fleet.target(name).setFault(FakeFleetTarget::Fault::None, 0);
        }
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeRequest("sound", "part")).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace Guavalock

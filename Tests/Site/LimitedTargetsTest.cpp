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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitedTargetsTest);

} // namespace Guavalock

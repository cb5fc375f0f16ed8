#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Tests site daemons while the record store comes back from a copy that is older than what they know.
class RestoredStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestoredStoreTest);
    CPPUNIT_TEST(changesAfterARestoreAreInForce);
    CPPUNIT_TEST(removalsAfterARestoreAreCarriedOut);
    CPPUNIT_TEST(nothingRevertsToTheCopy);
    CPPUNIT_TEST(evacuationsLastUntilTheyAreWrittenAgain);
    CPPUNIT_TEST(changesAfterTwoRestoresReachThoseWhoReadThroughAPeer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t daemons = 3;

    static unsigned statusOf(const SiteFleet &fleet, std::size_t daemon, const std::string &key)
    {
        static int n = 0;
        SiteFleet::Request request = SiteFleet::makeRequest("/safe/x", "r" + std::to_string(++n));
        request.apiKey = key;
        return fleet.send(daemon, request).status;
    }

    static bool allServe(const SiteFleet &fleet, const std::string &key)
    {
        return SiteFleet::waitFor([&] {
            for (std::size_t it = 0; it < daemons; ++it) {
                if (statusOf(fleet, it, key) != 200) {
                    return false;
                }
            }
            return true;
        });
    }

    static void restore(SiteFleet &fleet)
    {
        fleet.store().setOutage(true);
        std::this_thread::sleep_for(milliseconds(500));
        fleet.store().restoreCopy();
        fleet.store().setOutage(false);
    }

public:
    void changesAfterARestoreAreInForce()
    {
        SiteFleet fleet(daemons);
        fleet.start();
        fleet.store().saveCopy();
        for (int version = 3; version <= 5; ++version) {
            fleet.configure(version, "\"k" + std::to_string(version) + '"');
        }
        CPPUNIT_ASSERT(allServe(fleet, "k5"));
        restore(fleet);
        fleet.configure(5, R"("k5")");
        std::this_thread::sleep_for(milliseconds(1'500));
        fleet.configure(6, R"("k6")");
        CPPUNIT_ASSERT(allServe(fleet, "k6"));
    }

    /// The copy lacks the last records of the target, so the record that it drains gets an offset that its own have passed.
    void removalsAfterARestoreAreCarriedOut()
    {
        SiteFleet fleet(daemons);
        fleet.start();
        fleet.store().saveCopy();
        for (int it = 0; it < 5; ++it) {
            fleet.writeTarget("plain-1", "ready");
        }
        std::this_thread::sleep_for(milliseconds(1'500));
        restore(fleet);
        fleet.writeTarget("plain-1", "draining");
        std::this_thread::sleep_for(milliseconds(2'000));
        const std::size_t arrivals = fleet.target("plain-1").arrivals();
        for (int it = 0; it < 20; ++it) {
            CPPUNIT_ASSERT_EQUAL(200U, statusOf(fleet, it % daemons, "k1"));
        }
        CPPUNIT_ASSERT_EQUAL(arrivals, fleet.target("plain-1").arrivals());
    }

    /// The copy has a key that was taken away since and a target that has left.
    void nothingRevertsToTheCopy()
    {
        SiteFleet fleet(daemons);
        fleet.start();
        fleet.store().saveCopy();
        fleet.configure(3, R"("k3")");
        fleet.writeTarget("plain-1", "draining");
        CPPUNIT_ASSERT(allServe(fleet, "k3"));
        std::this_thread::sleep_for(milliseconds(1'500));
        const std::size_t arrivals = fleet.target("plain-1").arrivals();
        restore(fleet);
        for (int it = 0; it < 40; ++it) {
            CPPUNIT_ASSERT_EQUAL(401U, statusOf(fleet, it % daemons, "k1"));
            CPPUNIT_ASSERT_EQUAL(200U, statusOf(fleet, it % daemons, "k3"));
            std::this_thread::sleep_for(milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(arrivals, fleet.target("plain-1").arrivals());
    }

    void evacuationsLastUntilTheyAreWrittenAgain()
    {
        SiteFleet fleet(daemons);
        fleet.start();
        fleet.store().saveCopy();
        fleet.store().put("keyed.op", "evacuate/north", "{}");
        std::this_thread::sleep_for(milliseconds(1'500));
        const std::size_t arrivals = fleet.target("plain-1").arrivals();
        restore(fleet);
        std::this_thread::sleep_for(milliseconds(1'000));
        for (int it = 0; it < 12; ++it) {
            statusOf(fleet, it % daemons, "k1");
        }
        fleet.store().put("keyed.op", "evacuate/north", "{}");
        std::this_thread::sleep_for(milliseconds(4'000));
        for (int it = 0; it < 12; ++it) {
            statusOf(fleet, it % daemons, "k1");
        }
        CPPUNIT_ASSERT_EQUAL(arrivals, fleet.target("plain-1").arrivals());
        fleet.store().put("keyed.op", "evacuate/north", "");
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] {
            statusOf(fleet, 0, "k1");
            return fleet.target("plain-1").arrivals() > arrivals;
        }));
    }

    void changesAfterTwoRestoresReachThoseWhoReadThroughAPeer()
    {
        SiteFleet fleet(daemons);
        fleet.start();
        fleet.store().saveCopy();
        for (int version = 3; version <= 6; ++version) {
            fleet.configure(version, "\"k" + std::to_string(version) + '"');
        }
        CPPUNIT_ASSERT(allServe(fleet, "k6"));
        restore(fleet);
        std::this_thread::sleep_for(milliseconds(200));
        restore(fleet);
        fleet.configure(7, R"("k7")");
        CPPUNIT_ASSERT(allServe(fleet, "k7"));
        fleet.configure(8, R"("k8")");
        CPPUNIT_ASSERT(allServe(fleet, "k8"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreTest);

} // namespace Guavalock

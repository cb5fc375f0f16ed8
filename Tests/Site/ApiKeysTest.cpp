#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace Guavalock
{

/// Tests which requests site daemons accept when the operator changes the organisations and their API keys.
class ApiKeysTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ApiKeysTest);
    CPPUNIT_TEST(withdrawingTheLastOrganisationAdmitsNobody);
    CPPUNIT_TEST(anOrganisationWithoutKeysAdmitsNobody);
    CPPUNIT_TEST(aVersionWithInvalidOrganisationsReplacesNothing);
    CPPUNIT_TEST(aVersionWithoutOrganisationsNeedsNoKeys);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t daemonCount = 2;

    static unsigned send(SiteFleet &fleet, std::size_t daemon, const std::string &key)
    {
        static int number = 0;
        SiteFleet::Request request = SiteFleet::makeRequest("/once/x", "key-" + std::to_string(++number));
        request.apiKey = key;
        const unsigned status = fleet.send(daemon, request).status;
        CPPUNIT_ASSERT_EQUAL(status == 200 ? std::size_t(1) : std::size_t(0), fleet.executionCount(request.attemptId));
        return status;
    }

    static bool allAnswer(SiteFleet &fleet, const std::string &key, unsigned status)
    {
        return SiteFleet::waitFor([&] {
            bool all = true;
            for (std::size_t it = 0; it < daemonCount; ++it) {
                all = send(fleet, it, key) == status && all;
            }
            return all;
        });
    }

    /// Checks daemons that follow the change, and those that start after it and may get the configuration from another daemon.
    static void checkThatNobodyIsAdmitted(const std::string &organisations)
    {
        SiteFleet fleet(daemonCount);
        fleet.start();
        CPPUNIT_ASSERT(allAnswer(fleet, "k1", 200));
        fleet.configureOrganisations(2, organisations);
        CPPUNIT_ASSERT(allAnswer(fleet, "k1", 401));
        for (std::size_t it = 0; it < daemonCount; ++it) {
            CPPUNIT_ASSERT_EQUAL(401U, send(fleet, it, "never"));
            CPPUNIT_ASSERT_EQUAL(401U, send(fleet, it, ""));
        }
        fleet.killDaemon(1);
        fleet.startDaemon(1);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.isReady(1); }));
        CPPUNIT_ASSERT_EQUAL(401U, send(fleet, 1, "k1"));
        CPPUNIT_ASSERT_EQUAL(401U, send(fleet, 1, "never"));
    }

public:
    /// review/6: a configuration with an empty list of organisations opened the service to every key.
    void withdrawingTheLastOrganisationAdmitsNobody()
    {
        checkThatNobodyIsAdmitted("[]");
    }

    /// An organisation that lost its last key must not be treated like an open service.
    void anOrganisationWithoutKeysAdmitsNobody()
    {
        checkThatNobodyIsAdmitted(R"([{"name":"mill","api_keys":[]}])");
    }

    /// A list of organisations that can't be read must neither open the service nor withdraw keys that are in force.
    void aVersionWithInvalidOrganisationsReplacesNothing()
    {
        SiteFleet fleet(daemonCount);
        fleet.start();
        std::uint64_t version = 1;
        for (const std::string invalid :
             {"null", "{}", "true", R"("mill")", R"(["mill"])", R"([{"name":7,"api_keys":["k1"]}])", R"([{"api_keys":["k1"]}])",
              R"([{"name":"mill","api_keys":"k1"}])", R"([{"name":"mill","api_keys":["k1",7]}])"}) {
            fleet.configureOrganisations(++version, invalid);
            // Daemons read a new record of the operator within this time.
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
            for (std::size_t it = 0; it < daemonCount; ++it) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(invalid, 200U, send(fleet, it, "k1"));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(invalid, 401U, send(fleet, it, "never"));
            }
        }
        fleet.configure(++version, R"("k3")");
        CPPUNIT_ASSERT(allAnswer(fleet, "k3", 200));
        CPPUNIT_ASSERT(allAnswer(fleet, "k1", 401));
    }

    /// The configurations of deployments without organisations must stay usable.
    void aVersionWithoutOrganisationsNeedsNoKeys()
    {
        SiteFleet fleet(daemonCount);
        fleet.start();
        CPPUNIT_ASSERT(allAnswer(fleet, "", 401));
        fleet.configureOrganisations(2, "");
        CPPUNIT_ASSERT(allAnswer(fleet, "", 200));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiKeysTest);

} // namespace Guavalock

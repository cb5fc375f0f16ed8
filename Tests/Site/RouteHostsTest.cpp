#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

/// Tests which routes serve requests by the name of their host.
class RouteHostsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteHostsTest);
    CPPUNIT_TEST(addedRoutesWithCapitalsInTheirHostAreServed);
    CPPUNIT_TEST(hostsThatDifferInCaseShareTheirRoutes);
    CPPUNIT_TEST(hostsWithIpv6AddressesAreServed);
    CPPUNIT_TEST(hostsWithPortsAreServed);
    CPPUNIT_TEST(refusalsNameTheHostThatWasLookedUp);
    CPPUNIT_TEST(improperHostFieldsAreRejected);
    CPPUNIT_TEST(targetsInAbsoluteFormReplaceTheHostField);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t daemonCount = 2;

    static std::string route(const std::string &name, const std::string &host, const std::string &prefix,
                             const std::string &service = "plain")
    {
        return R"({"name":")" + name + R"(","hostname":")" + host + R"(","path_prefix":")" + prefix
            + R"(","type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":")" + service + R"(","max_attempts":2})";
    }

    static SiteFleet::Response send(const SiteFleet &fleet, std::size_t daemon, const std::string &host, const std::string &path)
    {
        static int number = 0;
        SiteFleet::Request request = SiteFleet::makeRequest(path, "host-" + std::to_string(++number));
        request.headers.emplace_back("Host", host);
        return fleet.send(daemon, request);
    }

    static void checkStatus(const SiteFleet &fleet, std::size_t daemon, const std::string &host, const std::string &path, unsigned status)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("Host: " + host + ", " + path, status, send(fleet, daemon, host, path).status);
    }

    /// Waits until all daemons have a configuration with the route of "marker.example".
    static void awaitConfiguration(const SiteFleet &fleet)
    {
        for (std::size_t it = 0; it < daemonCount; ++it) {
            CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return send(fleet, it, "marker.example", "/x").status == 200; }));
        }
    }

public:
    /// review/13: a route whose host had capitals was never served, neither when it was added nor after a restart of the daemon.
    void addedRoutesWithCapitalsInTheirHostAreServed()
    {
        SiteFleet fleet(daemonCount);
        fleet.start();
        fleet.configureRoutes(2, route("added", "Peliyagoda.Example", "/book/") + "," + route("marker", "marker.example", "/"));
        awaitConfiguration(fleet);
        const auto check = [&](std::size_t daemon) {
            for (const std::string host : {"Peliyagoda.Example", "peliyagoda.example", "PELIYAGODA.EXAMPLE", "Peliyagoda.example:8080"}) {
                checkStatus(fleet, daemon, host, "/book/coil", 200);
                checkStatus(fleet, daemon, host, "/Book/coil", 404);
            }
        };
        check(0);
        check(1);
        fleet.killDaemon(1);
        fleet.startDaemon(1);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return fleet.isReady(1); }));
        check(1);
    }

    /// Guards against a longest prefix that is looked for among the routes of one spelling only, and against a configuration that is
    /// refused for two spellings. The service of a route that must not be selected does not exist.
    void hostsThatDifferInCaseShareTheirRoutes()
    {
        SiteFleet fleet(daemonCount);
        fleet.start();
        fleet.configureRoutes(2,
                              route("first", "Desk.example", "/book/") + "," + route("deep", "desk.EXAMPLE", "/book/deep/", "none") + ","
                                  + route("second", "desk.example", "/book/", "none") + "," + route("marker", "marker.example", "/"));
        awaitConfiguration(fleet);
        for (std::size_t it = 0; it < daemonCount; ++it) {
            for (const std::string host : {"Desk.example", "desk.example", "desk.EXAMPLE", "DESK.EXAMPLE"}) {
                checkStatus(fleet, it, host, "/book/coil", 200);
                checkStatus(fleet, it, host, "/book/deep/coil", 503);
            }
        }
    }

    /// Guards against hosts that are cut at the first colon of an IPv6 address.
    void hostsWithIpv6AddressesAreServed()
    {
        SiteFleet fleet(daemonCount);
        fleet.start();
        fleet.configureRoutes(2,
                              route("literal", "[2001:DB8::1]", "/book/") + "," + route("bare", "2001:db8::2", "/book/") + ","
                                  + route("marker", "marker.example", "/"));
        awaitConfiguration(fleet);
        for (const std::string host : {"[2001:db8::1]", "[2001:db8::1]:8080", "[2001:DB8:0:0::0001]", "[2001:db8::2]"}) {
            checkStatus(fleet, 1, host, "/book/coil", 200);
        }
        checkStatus(fleet, 1, "[2001:db8::3]", "/book/coil", 404);
    }

    /// Guards against routes that no request reaches because their host has a port, and against requests that reach the route of another
    /// port. The service of a route that must not be selected does not exist.
    void hostsWithPortsAreServed()
    {
        SiteFleet fleet(daemonCount);
        fleet.start();
        fleet.configureRoutes(2,
                              route("any", "desk.example", "/any/", "none") + "," + route("one", "desk.example:8443", "/any/") + ","
                                  + route("only", "Desk.example:8443", "/only/") + "," + route("marker", "marker.example", "/"));
        awaitConfiguration(fleet);
        checkStatus(fleet, 0, "desk.example:8443", "/only/x", 200);
        checkStatus(fleet, 0, "DESK.example:8443", "/only/x", 200);
        checkStatus(fleet, 0, "desk.example", "/only/x", 200);
        checkStatus(fleet, 0, "desk.example:80", "/only/x", 404);
        checkStatus(fleet, 0, "desk.example:8443", "/any/x", 200);
        checkStatus(fleet, 0, "desk.example", "/any/x", 503);
        checkStatus(fleet, 0, "desk.example:", "/any/x", 503);
    }

    /// Guards against a 404 that does not tell which host was looked up.
    void refusalsNameTheHostThatWasLookedUp()
    {
        SiteFleet fleet(1);
        fleet.start();
        const auto reasonIs = [&](const std::string &host, const std::string &path, const std::string &reason) {
            const SiteFleet::Response response = send(fleet, 0, host, path);
            CPPUNIT_ASSERT_EQUAL(404U, response.status);
            CPPUNIT_ASSERT_MESSAGE(response.body, response.body.find("\"reason\":\"" + reason + "\"") != std::string::npos);
        };
        reasonIs("Other.example:80", "/safe/x", "no route has the host Other.example:80");
        reasonIs("\xfc", "/safe/x", "no route has the host %FC");
        reasonIs(std::string(1'000, 'x'), "/safe/x", "no route has the host " + std::string(259, 'x'));
        reasonIs("H", "/none/x", "no route of host H matches the path and the port");
    }

    /// Guards against requests whose route depends on which of two Host fields a receiver takes, or on how it reads a malformed one.
    void improperHostFieldsAreRejected()
    {
        SiteFleet fleet(1);
        fleet.start();
        int number = 0;
        const auto statusOf = [&](const std::string &fields) {
            const std::string id = "improper-" + std::to_string(++number);
            const SiteFleet::Response response = fleet.sendBytes(
                0, "POST /once/x HTTP/1.1\r\n" + fields + "X-Guavalock-Attempt-Id: " + id + "\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, response.status == 200 ? std::size_t(1) : std::size_t(0), fleet.executionCount(id));
            return response.status;
        };
        CPPUNIT_ASSERT_EQUAL(200U, statusOf("Host: h\r\n"));
        for (const std::string fields :
             {"", "Host:\r\n", "Host: h\r\nHost: other.example\r\n", "Host: other.example\r\nHost: h\r\n", "Host: h\r\nhost: h\r\n",
              "Host: h:abc\r\n", "Host: h:80:80\r\n", "Host: h:99999\r\n", "Host: user@h\r\n", "Host: h/once\r\n", "Host: h h\r\n",
              "Host: [::1\r\n", "Host: ::1\r\n", "Host: http://h\r\n"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, 400U, statusOf(fields));
        }
        // A comma may be part of a name.
        CPPUNIT_ASSERT_EQUAL(404U, statusOf("Host: h,other.example\r\n"));
    }

    /// Guards against a request in absolute form that is rejected, or served on the route of its Host field.
    void targetsInAbsoluteFormReplaceTheHostField()
    {
        SiteFleet fleet(1);
        fleet.start();
        const auto statusOf = [&](const std::string &target, const std::string &host) {
            return fleet
                .sendBytes(0,
                           "POST " + target + " HTTP/1.1\r\nHost: " + host
                               + "\r\nX-Guavalock-Attempt-Id: absolute\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n")
                .status;
        };
        CPPUNIT_ASSERT_EQUAL(200U, statusOf("http://H:8080/safe/x", "other.example"));
        CPPUNIT_ASSERT_EQUAL(404U, statusOf("http://other.example/safe/x", "h"));
        CPPUNIT_ASSERT_EQUAL(400U, statusOf("http://h/safe/x", "h:x"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteHostsTest);

} // namespace Guavalock

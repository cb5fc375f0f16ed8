#include "Fleet/HostName.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

/// Tests which texts name the same host.
class HostNameTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HostNameTest);
    CPPUNIT_TEST(hostsAreComparedByTheirMeaning);
    CPPUNIT_TEST(namesMayEndWithADot);
    CPPUNIT_TEST(portsAreRead);
    CPPUNIT_TEST_SUITE_END();

    static void checkEqual(const std::string &configured, const std::string &requested, bool expected)
    {
        const std::optional<HostName> host = HostName::parse(requested);
        CPPUNIT_ASSERT_MESSAGE(requested, host);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(configured + " and " + requested, expected, HostName(configured) == *host);
        CPPUNIT_ASSERT_EQUAL(expected, !(HostName(configured) < *host) && !(*host < HostName(configured)));
        CPPUNIT_ASSERT_EQUAL(requested, host->text());
    }

public:
    /// Guards against routes that a client cannot reach with another form of their host's name.
    void hostsAreComparedByTheirMeaning()
    {
        checkEqual("Shop.Example", "shop.EXAMPLE", true);
        checkEqual("shop.example", "shop.example:8080", true);
        checkEqual("10.0.0.1.shop.example", "10.0.0.1.Shop.example:80", true);
        checkEqual("bücher.example", "Bücher.Example", true);
        checkEqual("order_desk", "Order_Desk", true);
        checkEqual("127.0.0.9", "127.0.0.9:80", true);
        checkEqual("[::1]", "[0:0:0:0:0:0:0:1]:8080", true);
        checkEqual("2001:db8::1", "[2001:DB8::1]", true);
        checkEqual("[::1]", "[::2]", false);
        checkEqual("::1", "1", false);
        CPPUNIT_ASSERT(!HostName::parse(""));
        CPPUNIT_ASSERT(!HostName::parse(":80"));
        CPPUNIT_ASSERT(!HostName("").isWellFormed() && !HostName("shop example").isWellFormed());
        CPPUNIT_ASSERT(HostName("2001:db8::1").isWellFormed() && HostName("Shop.example.:80").isWellFormed());
    }

    /// Guards against clients that state an absolute name, with the dot of the root domain, and miss the route.
    void namesMayEndWithADot()
    {
        checkEqual("shop.example", "shop.example.", true);
        checkEqual("shop.example.", "shop.example", true);
        checkEqual("shop.example.:80", "Shop.Example.", true);
        checkEqual("127.0.0.9", "127.0.0.9.", true);
        checkEqual("shop.example", "shop.example..", false);
        checkEqual("shop.example", ".", false);
    }

    void portsAreRead()
    {
        CPPUNIT_ASSERT(HostName("shop.example:8443").port() == 8443);
        CPPUNIT_ASSERT(HostName::parse("[::1]:8080")->port() == 8080);
        for (const std::string text : {"shop.example", "shop.example:", "[::1]", "::1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !HostName(text).port());
        }
        for (const std::string text : {"shop.example:99999", "shop.example:-1", "shop.example:8x", "[::1]8080", "[::1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !HostName::parse(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostNameTest);

} // namespace Guavalock

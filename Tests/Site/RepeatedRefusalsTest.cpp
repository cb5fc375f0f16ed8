#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

/// Tests site daemons against targets that send an earlier refusal again on an open connection.
class RepeatedRefusalsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedRefusalsTest);
    CPPUNIT_TEST(refusalsOfOtherRequestsProveNothingOnOpenConnections);
    CPPUNIT_TEST(repeatedRefusalsOfTheSameRequestProveNothing);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

public:
    /// The only target keeps the connection of the first request.
    void refusalsOfOtherRequestsProveNothingOnOpenConnections()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        FakeFleetTarget &plain = fleet.target("plain-1");
        int n = 0;
        for (const Fault fault : {Fault::ForeignRefusal, Fault::AnonymousRefusal}) {
            const std::string number = std::to_string(++n);
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, SiteFleet::makeRequest("/safe/x", "a" + number)).status);
            CPPUNIT_ASSERT(plain.connections() > 0);
            plain.setFaults({fault});
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, SiteFleet::makeRequest("/safe/x", "b" + number)).status);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.executionCount("b" + number));
        }
        plain.setFaults({Fault::ForeignRefusal, Fault::ForeignRefusal});
        const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest("/safe/x", "c"));
        CPPUNIT_ASSERT(response.status == 502 || response.status == 504);
    }

    void repeatedRefusalsOfTheSameRequestProveNothing()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        FakeFleetTarget &plain = fleet.target("plain-1");
        int n = 0;
        for (const std::size_t laterRefusals : {0U, 8U}) {
            const std::string number = std::to_string(++n);
            CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, SiteFleet::makeRequest("/safe/x", "d" + number)).status);
            std::vector<Fault> faults(2 + laterRefusals, Fault::RefuseById);
            faults[1] = Fault::RepeatAtOnce;
            plain.setFaults(faults);
            const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest("/safe/x", "e" + number));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.executionCount("e" + number));
            CPPUNIT_ASSERT_EQUAL(200U, response.status);
            plain.setFaults({});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRefusalsTest);

} // namespace Guavalock

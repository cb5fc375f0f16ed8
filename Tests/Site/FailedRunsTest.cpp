#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace Guavalock
{

/// Tests what clients are told when a target fails a request that it has executed.
class FailedRunsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FailedRunsTest);
    CPPUNIT_TEST(statusesThatDenyARunAreNotPassedOn);
    CPPUNIT_TEST(requestsThatMayBeRepeatedAreRetriedElsewhere);
    CPPUNIT_TEST(refusalsAfterAFailedRunDenyNoRun);
    CPPUNIT_TEST(otherFailuresArePassedOnUnchanged);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    static constexpr std::array denials{Fault::TimeoutInstead, Fault::TooManyInstead, Fault::UnavailableInstead};

    static void setFaults(SiteFleet &fleet, const std::vector<Fault> &faults)
    {
        for (const char *name : {"plain-1", "plain-2", "model-1", "model-2"}) {
            fleet.target(name).setFaults(faults);
        }
    }

public:
    /// review/10: a 503 for a booking that had been executed was passed on, and the client booked again.
    void statusesThatDenyARunAreNotPassedOn()
    {
        SiteFleet fleet(1);
        fleet.start();
        int number = 0;
        for (const Fault fault : denials) {
            for (const std::string path : {"/once/x", "/safe/x", "/brisk-stream/x", "/streamed/x"}) {
                const std::string id = "denied-" + std::to_string(++number);
                setFaults(fleet, {fault, fault});
                const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest(path, id));
                CPPUNIT_ASSERT(fleet.executionCount(id) > 0);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 502U, response.status);
                CPPUNIT_ASSERT(response.complete && !response.isSigned && response.retryAfter.empty());
            }
        }
    }

    /// A target that is in trouble must not fail requests that another one can serve.
    void requestsThatMayBeRepeatedAreRetriedElsewhere()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        for (const Fault fault : denials) {
            const std::string id = "retried-" + std::to_string(static_cast<int>(fault));
            fleet.target("plain-1").setFaults({fault});
            const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest("/safe/x", id));
            CPPUNIT_ASSERT_EQUAL(200U, response.status);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.executionCount(id));
        }
    }

    /// The refusal of a retry says nothing about the attempt before it.
    void refusalsAfterAFailedRunDenyNoRun()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        std::vector<Fault> faults(20, Fault::Refuse);
        faults.front() = Fault::UnavailableInstead;
        fleet.target("plain-1").setFaults(faults);
        const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest("/safe/x", "refused-later"));
        CPPUNIT_ASSERT(response.status == 502 || response.status == 504);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.executionCount("refused-later"));
    }

    /// Only the statuses that deny a run may be replaced.
    void otherFailuresArePassedOnUnchanged()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2", "model-2"});
        for (const std::string path : {"/once/x", "/brisk-stream/x"}) {
            for (const auto &[fault, status] : {std::pair(Fault::ErrorInstead, 500U), std::pair(Fault::RejectionInstead, 400U)}) {
                setFaults(fleet, {fault});
                const SiteFleet::Response response
                    = fleet.send(0, SiteFleet::makeRequest(path, path.substr(1, 5) + std::to_string(status)));
                CPPUNIT_ASSERT_EQUAL(status, response.status);
                CPPUNIT_ASSERT(response.complete && response.isSigned);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailedRunsTest);

} // namespace Guavalock

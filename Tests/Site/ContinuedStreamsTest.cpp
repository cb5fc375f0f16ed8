#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

/// Tests how site daemons continue streams that broke off, against targets that answer with something other than the rest of the stream.
class ContinuedStreamsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContinuedStreamsTest);
    CPPUNIT_TEST(otherResponsesNeitherEnterNorEndAStream);
    CPPUNIT_TEST(refusalsNeitherEnterNorEndAStream);
    CPPUNIT_TEST(otherResponsesLeaveARetryToTheStream);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    /// Responses that do not continue a stream.
    static const std::vector<Fault> &otherResponses()
    {
        static const std::vector<Fault> faults{Fault::ErrorInstead, Fault::RejectionInstead, Fault::DocumentInstead, Fault::EmptyInstead,
                                               Fault::CutHead};
        return faults;
    }

    static std::string events(const std::string &id, int count)
    {
        std::string text;
        for (int it = 1; it <= count; ++it) {
            text += "id: " + std::to_string(it) + "\ndata: " + id + " \n\n";
        }
        return text;
    }

    /// The reset of the connection may discard events that the client has not read. The parser leaves the line end of the last chunk.
    static void checkThatTheStreamIsAborted(const SiteFleet::Response &response, const std::string &id)
    {
        CPPUNIT_ASSERT_MESSAGE(id + " looks complete", !response.complete);
        CPPUNIT_ASSERT_MESSAGE(id + " received " + response.excess, response.excess.empty() || response.excess == "\r\n");
        CPPUNIT_ASSERT_MESSAGE(id + " received " + response.body, events(id, 2).starts_with(response.body));
    }

public:
    void otherResponsesNeitherEnterNorEndAStream()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        for (const Fault fault : otherResponses()) {
            fleet.target("model-1").setFaults({Fault::Cut, fault});
            const std::string id = "a" + std::to_string(static_cast<int>(fault));
            checkThatTheStreamIsAborted(fleet.send(0, SiteFleet::makeRequest("/streamed/x", id)), id);
        }
    }

    void refusalsNeitherEnterNorEndAStream()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        std::vector<Fault> faults(20, Fault::Refuse);
        faults.front() = Fault::Cut;
        fleet.target("model-1").setFaults(faults);
        checkThatTheStreamIsAborted(fleet.send(0, SiteFleet::makeRequest("/streamed/x", "b1")), "b1");
        fleet.target("model-1").setFaults({Fault::Cut, Fault::Refuse});
        const SiteFleet::Response resumed = fleet.send(0, SiteFleet::makeRequest("/streamed/x", "b2"));
        CPPUNIT_ASSERT(resumed.complete);
        CPPUNIT_ASSERT_EQUAL(events("b2", 5), resumed.body);
    }

    void otherResponsesLeaveARetryToTheStream()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        for (const Fault fault : otherResponses()) {
            fleet.target("model-1").setFaults({Fault::Cut, fault});
            const std::string id = "c" + std::to_string(static_cast<int>(fault));
            const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest("/streamed-twice/x", id));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, events(id, 5), response.body);
            CPPUNIT_ASSERT_MESSAGE(id + " is not complete", response.complete);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContinuedStreamsTest);

} // namespace Guavalock

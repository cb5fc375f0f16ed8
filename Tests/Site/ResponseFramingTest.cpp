#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

/// Tests site daemons against responses that end with their connection, within the head or without a length.
class ResponseFramingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResponseFramingTest);
    CPPUNIT_TEST(incompleteHeadsAreNoResponses);
    CPPUNIT_TEST(incompleteHeadsAreNoStreams);
    CPPUNIT_TEST(responsesWithoutALengthArriveWhole);
    CPPUNIT_TEST(responsesWithoutALengthThatAreResetDoNotLookWhole);
    CPPUNIT_TEST(streamsWithoutALengthThatEndWithinAnEventDoNotLookWhole);
    CPPUNIT_TEST(streamsWithoutALengthOrEventsDoNotLookWhole);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    static constexpr std::size_t maxHeadLength = 140; ///< Of a response of the fake target.

    static std::string events(const std::string &id)
    {
        std::string text;
        for (int it = 1; it <= 5; ++it) {
            text += "id: " + std::to_string(it) + "\ndata: " + id + " \n\n";
        }
        return text;
    }

    static SiteFleet::Response send(SiteFleet &fleet, const std::string &path, const std::string &id, const std::vector<Fault> &faults)
    {
        fleet.target(path.find("stream") == std::string::npos ? "plain-1" : "model-1").setFaults(faults);
        return fleet.send(0, SiteFleet::makeRequest(path, id));
    }

    static void checkFailure(const SiteFleet::Response &response, const std::string &id)
    {
        CPPUNIT_ASSERT_MESSAGE(id + " has status " + std::to_string(response.status), response.status == 502 || response.status == 504);
        CPPUNIT_ASSERT(!response.isSigned);
    }

public:
    void incompleteHeadsAreNoResponses()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2"});
        for (std::size_t it = 0; it <= maxHeadLength; ++it) {
            fleet.target("plain-1").setHeadLength(it);
            const std::string id = "once" + std::to_string(it);
            checkFailure(send(fleet, "/once/x", id, {Fault::CutHead}), id);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.executionCount(id));
            if (it % 10 == 0) {
                const std::string safe = "safe" + std::to_string(it);
                const SiteFleet::Response response = send(fleet, "/safe/x", safe, {Fault::CutHead});
                CPPUNIT_ASSERT_EQUAL(200U, response.status);
                CPPUNIT_ASSERT_EQUAL(safe + ":body of " + safe, response.body);
            }
        }
    }

    void incompleteHeadsAreNoStreams()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        for (std::size_t it = 0; it <= maxHeadLength; it += 14) {
            fleet.target("model-1").setHeadLength(it);
            const std::string number = std::to_string(it);
            checkFailure(send(fleet, "/brisk-stream/x", "a" + number, {Fault::CutHead}), "a" + number);
            const SiteFleet::Response response = send(fleet, "/streamed-twice/x", "b" + number, {Fault::Cut, Fault::CutHead});
            CPPUNIT_ASSERT(response.complete);
            CPPUNIT_ASSERT_EQUAL(events("b" + number), response.body);
        }
    }

    void responsesWithoutALengthArriveWhole()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2", "model-2"});
        for (const std::string path : {"/once/x", "/safe/x", "/brisk-stream/x", "/streamed/x"}) {
            const SiteFleet::Response response = send(fleet, path, "c", {Fault::UntilClose});
            CPPUNIT_ASSERT(response.complete && response.isSigned);
            CPPUNIT_ASSERT_EQUAL(path.find("stream") == std::string::npos ? std::string("c:body of c") : events("c"), response.body);
        }
    }

    void responsesWithoutALengthThatAreResetDoNotLookWhole()
    {
        SiteFleet fleet(1);
        fleet.start({"plain-2", "model-2"});
        checkFailure(send(fleet, "/once/x", "d1", {Fault::UntilCloseReset}), "d1");
        const SiteFleet::Response retried = send(fleet, "/safe/x", "d2", {Fault::UntilCloseReset});
        CPPUNIT_ASSERT_EQUAL(std::string("d2:body of d2"), retried.body);
        CPPUNIT_ASSERT(!send(fleet, "/brisk-stream/x", "d3", {Fault::UntilCloseReset}).complete);
        const SiteFleet::Response resumed = send(fleet, "/streamed/x", "d4", {Fault::UntilCloseReset});
        CPPUNIT_ASSERT(resumed.complete);
        CPPUNIT_ASSERT_EQUAL(events("d4"), resumed.body);
    }

    void streamsWithoutALengthThatEndWithinAnEventDoNotLookWhole()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        CPPUNIT_ASSERT(!send(fleet, "/brisk-stream/x", "e1", {Fault::UntilClosePartial}).complete);
        CPPUNIT_ASSERT(!send(fleet, "/streamed/x", "e2", {Fault::UntilClosePartial, Fault::UntilClosePartial}).complete);
        const SiteFleet::Response resumed = send(fleet, "/streamed/x", "e3", {Fault::UntilClosePartial, Fault::UntilClose});
        CPPUNIT_ASSERT(resumed.complete);
        CPPUNIT_ASSERT_EQUAL(events("e3"), resumed.body);
    }

    void streamsWithoutALengthOrEventsDoNotLookWhole()
    {
        SiteFleet fleet(1);
        fleet.start({"model-2"});
        checkFailure(send(fleet, "/brisk-stream/x", "f1", {Fault::UntilCloseEmpty}), "f1");
        CPPUNIT_ASSERT(!send(fleet, "/streamed/x", "f2", {Fault::Cut, Fault::UntilCloseEmpty}).complete);
        const SiteFleet::Response resumed = send(fleet, "/streamed-twice/x", "f3", {Fault::Cut, Fault::UntilCloseEmpty});
        CPPUNIT_ASSERT(resumed.complete);
        CPPUNIT_ASSERT_EQUAL(events("f3"), resumed.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseFramingTest);

} // namespace Guavalock

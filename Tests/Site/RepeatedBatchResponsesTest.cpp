#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Tests site daemons against stage targets that send an earlier response again on an open connection, before they process a call.
class RepeatedBatchResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedBatchResponsesTest);
    CPPUNIT_TEST(repeatedRefusalsShiftNoResults);
    CPPUNIT_TEST(repeatedFailuresShiftNoResults);
    CPPUNIT_TEST(repeatedResponsesOfAnotherSizeShiftNoResults);
    CPPUNIT_TEST(refusedFreeCallsCountAsFailed);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    static SiteFleet::Request makeStagedRequest(const std::string &id, const std::string &pieceCounts)
    {
        SiteFleet::Request request = SiteFleet::makeRequest("/patient/stream", id);
        request.headers = {{"X-Guavalock-Chunk-Count", pieceCounts}, {"X-Guavalock-Chunk-Key", "key"}};
        return request;
    }

    /// Returns the input of the model target, which its events repeat.
    static std::string inputOf(const std::string &body, const std::string &id)
    {
        const std::size_t begin = body.find(id) + id.size() + 1;
        return body.substr(begin, body.find('\n', begin) - begin);
    }

    /// Sends requests one after another to one stage target, whose first calls have the given faults.
    static void checkThatResultsStayWithTheirRequests(const std::vector<Fault> &faults, const std::string &firstPieceCounts)
    {
        SiteFleet fleet(1);
        fleet.start({"stage-2"});
        FakeFleetTarget &stage = fleet.target("stage-1");
        stage.setServiceTime(milliseconds(300));
        stage.setFaults(faults);
        for (const std::string id : {"first", "second", "third"}) {
            const SiteFleet::Response response = fleet.send(0, makeStagedRequest(id, id == "first" ? firstPieceCounts : "1,1"));
            CPPUNIT_ASSERT_EQUAL(200U, response.status);
            CPPUNIT_ASSERT_EQUAL(id, stage.resultOwner(inputOf(response.body, id)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), stage.foreignInputs());
    }

public:
    void repeatedRefusalsShiftNoResults()
    {
        checkThatResultsStayWithTheirRequests({Fault::Refuse, Fault::RepeatAtOnce}, "1,1");
    }

    void repeatedFailuresShiftNoResults()
    {
        checkThatResultsStayWithTheirRequests({Fault::FailPieces, Fault::RepeatAtOnce}, "1,1");
    }

    void repeatedResponsesOfAnotherSizeShiftNoResults()
    {
        checkThatResultsStayWithTheirRequests({Fault::None, Fault::RepeatAtOnce}, "2,1");
    }

    /// The service times separate the calls that free the results of the two stages.
    void refusedFreeCallsCountAsFailed()
    {
        SiteFleet fleet(1);
        fleet.start({"stage-2"});
        FakeFleetTarget &stage = fleet.target("stage-1");
        for (const std::string name : {"stage-1", "model-1", "model-2"}) {
            fleet.target(name).setServiceTime(milliseconds(60));
        }
        stage.setFreeFaults({Fault::Refuse, Fault::RepeatAtOnce});
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("f1", "1,1")).status);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, makeStagedRequest("f2", "1,1")).status);
        CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return stage.results() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.counter(0, "stage_free_failures_total"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedBatchResponsesTest);

} // namespace Guavalock

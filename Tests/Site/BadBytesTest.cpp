#include "Net/BufferBudget.h"
#include "Relay/EventSplitter.h"
#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <set>
#include <thread>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests site daemons against targets whose bytes are late, endless, stalled or belong to another request.
class BadBytesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BadBytesTest);
    CPPUNIT_TEST(refusalsOfOtherRequestsProveNothing);
    CPPUNIT_TEST(lateBatchResponsesReachNoOtherRequest);
    CPPUNIT_TEST(stalledStreamsAreResumedInTime);
    CPPUNIT_TEST(stalledStreamsThatCannotBeResumedEnd);
    CPPUNIT_TEST(slowStreamsAreNotCut);
    CPPUNIT_TEST(streamsThatEndWithinAnEventDoNotLookWhole);
    CPPUNIT_TEST(endlessBytesHarmNoOtherCaller);
    CPPUNIT_TEST(largeResponsesShareABudget);
    CPPUNIT_TEST(commentsAreNoProgress);
    CPPUNIT_TEST(eventsSplitOverReadsAreFound);
    CPPUNIT_TEST_SUITE_END();

    using Fault = FakeFleetTarget::Fault;

    static SiteFleet::Request makeRequest(const std::string &path, const std::string &id)
    {
        SiteFleet::Request request;
        request.path = path;
        request.attemptId = id;
        request.body = "body of " + id;
        return request;
    }

    static std::size_t executionCount(SiteFleet &fleet, const std::string &id)
    {
        std::size_t total = 0;
        for (const std::string name : {"plain-1", "plain-2", "model-1", "model-2"}) {
            const auto executions = fleet.target(name).runs();
            total += executions.contains(id) ? executions.at(id) : 0;
        }
        return total;
    }

    static void setFaults(SiteFleet &fleet, const std::vector<std::string> &names, Fault fault, std::size_t requests)
    {
        for (const std::string &it : names) {
            fleet.target(it).setFault(fault, requests);
        }
    }

    /// Returns the result handles that the model engine was given, as its events repeat them.
    static std::set<std::string> inputsOf(const std::string &body, const std::string &id)
    {
        std::set<std::string> inputs;
        const std::size_t begin = body.find(id) + id.size() + 1;
        std::string list = body.substr(begin, body.find('\n', begin) - begin);
        for (std::size_t comma = 0; !list.empty(); list.erase(0, comma + 1)) {
            comma = std::min(list.find(','), list.size() - 1);
            inputs.insert(list.substr(0, list.find(',')));
        }
        return inputs;
    }

public:
    void refusalsOfOtherRequestsProveNothing()
    {
        SiteFleet fleet(1);
        fleet.start();
        setFaults(fleet, {"plain-1", "plain-2"}, Fault::ForeignRefusal, 10);
        const SiteFleet::Response response = fleet.send(0, makeRequest("/once/x", "a1"));
        CPPUNIT_ASSERT(response.complete);
        CPPUNIT_ASSERT(response.status == 502 || response.status == 504);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), executionCount(fleet, "a1"));
    }

    /// One stage target, so that all calls use the same connection until it is closed.
    void lateBatchResponsesReachNoOtherRequest()
    {
        SiteFleet fleet(1);
        fleet.start();
        std::this_thread::sleep_for(milliseconds(2'200)); // Targets that vanish right after an outage remain in use.
        fleet.removeTarget("stage-2");
        std::this_thread::sleep_for(milliseconds(1'200));
        FakeFleetTarget &stage = fleet.target("stage-1");
        std::size_t served = 0;
        for (int it = 0; it < 12; ++it) {
            stage.setFault(Fault::Repeat, it % 3 == 2 ? 2 : 0);
            const std::string id = "b" + std::to_string(it);
            SiteFleet::Request request = makeRequest("/stream/x", id);
            request.headers = {{"X-Guavalock-Chunk-Count", "2,2"}, {"X-Guavalock-Chunk-Key", "key"}};
            const SiteFleet::Response response = fleet.send(0, request);
            if (response.status != 200) {
                continue;
            }
            ++served;
            for (const std::string &handle : inputsOf(response.body, id)) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE("inputs of the answer to " + id, id, stage.resultOwner(handle));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), stage.foreignInputs());
        CPPUNIT_ASSERT(served >= 8);
    }

    /// The route's clients leave a stream that is silent for 4 s.
    void stalledStreamsAreResumedInTime()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const std::string name : {"model-1", "model-2"}) {
            setFaults(fleet, {"model-1", "model-2"}, Fault::None, 0);
            setFaults(fleet, {name}, Fault::Stall, 1);
            const SiteFleet::Response response = fleet.send(0, makeRequest("/streamed/x", "c" + name));
            CPPUNIT_ASSERT(response.complete);
            std::size_t at = 0;
            for (int it = 1; it <= 5; ++it) {
                at = response.body.find("id: " + std::to_string(it) + "\n", at);
                CPPUNIT_ASSERT(at != std::string::npos);
            }
        }
    }

    /// The route's clients leave a stream that is silent for 2 s; its time-out is 20 s.
    void stalledStreamsThatCannotBeResumedEnd()
    {
        SiteFleet fleet(1);
        fleet.start();
        setFaults(fleet, {"model-1", "model-2"}, Fault::Stall, 1);
        const auto begin = std::chrono::steady_clock::now();
        const SiteFleet::Response response = fleet.send(0, makeRequest("/brisk-stream/x", "d1"));
        CPPUNIT_ASSERT(!response.complete);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < seconds(4));
    }

    void slowStreamsAreNotCut()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const std::string name : {"model-1", "model-2"}) {
            fleet.target(name).setServiceTime(milliseconds(1'500));
        }
        const SiteFleet::Response response = fleet.send(0, makeRequest("/brisk-stream/x", "e1"));
        CPPUNIT_ASSERT(response.complete);
        CPPUNIT_ASSERT(response.body.find("id: 5\n") != std::string::npos);
    }

    void streamsThatEndWithinAnEventDoNotLookWhole()
    {
        SiteFleet fleet(1);
        fleet.start();
        setFaults(fleet, {"model-1", "model-2"}, Fault::PartialEnd, 1);
        CPPUNIT_ASSERT(!fleet.send(0, makeRequest("/brisk-stream/x", "h1")).complete);
    }

    void endlessBytesHarmNoOtherCaller()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const Fault fault : {Fault::Endless, Fault::EndlessHead}) {
            setFaults(fleet, {"plain-1", "model-1", "model-2"}, fault, 1'000);
            fleet.target("plain-2").setFault(Fault::None, 0);
            std::vector<std::future<SiteFleet::Response>> responses;
            for (int it = 0; it < 60; ++it) {
                const std::string id = "f" + std::to_string(static_cast<int>(fault)) + "n" + std::to_string(it);
                const SiteFleet::Request sent = makeRequest(it % 2 == 0 ? "/once/x" : "/brisk-stream/x", id);
                responses.push_back(std::async(std::launch::async, [&fleet, sent] { return fleet.send(0, sent); }));
            }
            std::size_t served = 0;
            for (int it = 0; it < 20; ++it) {
                const std::string id = "g" + std::to_string(static_cast<int>(fault)) + "n" + std::to_string(it);
                served += fleet.send(0, makeRequest("/safe/x", id)).status == 200 ? 1 : 0;
            }
            CPPUNIT_ASSERT(served >= 18);
            for (auto &it : responses) {
                const SiteFleet::Response response = it.get();
                CPPUNIT_ASSERT(response.status != 200 || !response.complete || response.body.size() < 100);
            }
        }
    }

    void largeResponsesShareABudget()
    {
        BufferBudget budget;
        BufferBudget::Share small(budget);
        std::vector<std::unique_ptr<BufferBudget::Share>> large;
        std::size_t accepted = 0;
        for (int it = 0; it < 200; ++it) {
            large.push_back(std::make_unique<BufferBudget::Share>(budget));
            accepted += large.back()->grow(1024 * 1024) ? 1024 * 1024 : 0;
        }
        CPPUNIT_ASSERT(accepted > BufferBudget::totalBytes / 2);
        CPPUNIT_ASSERT(accepted <= BufferBudget::totalBytes + 200 * BufferBudget::freeBytes);
        CPPUNIT_ASSERT(small.grow(BufferBudget::freeBytes));
        large.clear();
        CPPUNIT_ASSERT(small.grow(BufferBudget::totalBytes));
    }

    void commentsAreNoProgress()
    {
        CPPUNIT_ASSERT(!EventSplitter::containsData(":\n\n: still here\r\n\r\n"));
        CPPUNIT_ASSERT(EventSplitter::containsData(":\n\ndata: x\n\n"));
    }

    void eventsSplitOverReadsAreFound()
    {
        const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
        for (std::size_t size = 1; size < text.size(); ++size) {
            EventSplitter splitter;
            std::string events;
            for (std::size_t at = 0; at < text.size(); at += size) {
                events += splitter.append(std::string_view(text).substr(at, size));
            }
            CPPUNIT_ASSERT_EQUAL(text, events);
            CPPUNIT_ASSERT_EQUAL(std::string("3"), splitter.lastEventId());
        }
        EventSplitter endless;
        for (std::size_t it = 0; it <= EventSplitter::maxEventBytes / 4'096; ++it) {
            endless.append(std::string(4'096, 'x'));
        }
        CPPUNIT_ASSERT(endless.overflowed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadBytesTest);

} // namespace Guavalock

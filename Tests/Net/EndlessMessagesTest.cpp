#include "Deployment.h"
#include "EndlessSender.h"
#include "FakeAddress.h"
#include "FakeServer.h"
#include "Flow/Cancellation.h"
#include "Kernel/Registry.h"
#include "Kernel/WorkerPool.h"
#include "Net/BufferBudget.h"
#include "Net/HttpClient.h"
#include "SiteFleet.h"
#include "Tables/Slot.h"
#include "Targets/ConnectionTable.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"
#include "Targets/TargetExchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>

namespace Guavalock
{

namespace Asio = boost::asio;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests every reader of HTTP messages against messages without end.
class EndlessMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessMessagesTest);
    CPPUNIT_TEST(targetsCannotFillTheMemoryWithFraming);
    CPPUNIT_TEST(stageTargetsCannotFillTheMemoryWithFraming);
    CPPUNIT_TEST(clientsCannotFillTheMemoryWithFraming);
    CPPUNIT_TEST(callersOfPipelinesCannotFillTheMemoryWithFraming);
    CPPUNIT_TEST(serversOfClientCallsCannotFillTheMemoryWithFraming);
    CPPUNIT_TEST(targetsOfPipelinesCannotFillTheMemoryWithFraming);
    CPPUNIT_TEST(noFormOfEndlessResponseHoldsItsCaller);
    CPPUNIT_TEST(noFormOfEndlessResponseFillsAClient);
    CPPUNIT_TEST(endlessBodiesOfTargetsOfPipelinesShareABudget);
    CPPUNIT_TEST(longFramingBelowTheLimitIsAccepted);
    CPPUNIT_TEST_SUITE_END();

    /// Includes what fits into the buffers of the two sockets.
    static constexpr std::size_t maxSentBytes = 16 * 1024 * 1024;
    static constexpr milliseconds maxDuration{1'000};
    static constexpr std::uint16_t serverPort = 32'190;

    struct Form {
        std::string name;
        std::string begin; ///< After the head of a message.
        std::string repeated;
    };

    static const std::vector<Form> &forms()
    {
        static const std::vector<Form> table{{"chunk header", "1;", std::string(64 * 1024, 'x')},
                                             {"trailer", "0\r\n", "X-Long: " + std::string(4'096, 'x') + "\r\n"}};
        return table;
    }

    static constexpr const char *chunked = "Transfer-Encoding: chunked\r\n";

    /// Answers each request with a head and one of the forms, and counts what the caller has accepted.
    class EndlessServer
    {
    public:
        EndlessServer(std::string head, const Form &form)
            : m_head(std::move(head))
            , m_form(form)
            , m_server(Asio::make_strand(m_pool.executor()), serverPort,
                       [this](FakeServer::Socket &socket, FakeServer::Request) { return answer(socket); })
        {
            m_server.listen();
        }

        ~EndlessServer()
        {
            m_pool.stop();
        }

        std::size_t sentBytes() const
        {
            return m_sentBytes;
        }

    private:
        Asio::awaitable<bool> answer(FakeServer::Socket &socket)
        {
            std::string text = m_head + m_form.begin;
            for (;;) {
                const auto [ec, n] = co_await Asio::async_write(socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
                m_sentBytes += n;
                if (ec) {
                    co_return false;
                }
                text = m_form.repeated;
            }
        }

        std::string m_head;
        Form m_form;
        std::atomic<std::size_t> m_sentBytes{0};
        WorkerPool m_pool{1};
        FakeServer m_server;
    };

    static void assertBounded(const std::string &what, std::size_t sentBytes, std::chrono::steady_clock::time_point begin)
    {
        const auto duration = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
        const std::string text = what + ": " + std::to_string(sentBytes) + " bytes in " + std::to_string(duration.count()) + " ms";
        CPPUNIT_ASSERT_MESSAGE(text, sentBytes <= maxSentBytes);
        CPPUNIT_ASSERT_MESSAGE(text, duration <= maxDuration);
    }

    static void assertClosed(const std::string &what, const Endpoint &server, const std::string &head)
    {
        for (const Form &it : forms()) {
            const auto begin = std::chrono::steady_clock::now();
            const EndlessSender::Result result = EndlessSender::run(server, head + it.begin, it.repeated, seconds(3));
            assertBounded(what + ", " + it.name, result.sentBytes, begin);
            CPPUNIT_ASSERT_MESSAGE(what + ", " + it.name + " was not closed", result.closed);
        }
    }

public:
    /// review/1: the daemon kept all of a chunk header, exceeded its memory, and the requests of other callers ended with it.
    void targetsCannotFillTheMemoryWithFraming()
    {
        SiteFleet fleet(1);
        fleet.start();
        int number = 0;
        for (const auto fault : {FakeFleetTarget::Fault::EndlessChunkHeader, FakeFleetTarget::Fault::EndlessTrailer}) {
            for (const std::string path : {"/once/x", "/brisk-stream/x"}) {
                for (const std::string name : {"plain-1", "plain-2", "model-1", "model-2"}) {
                    fleet.target(name).setFault(fault, 1'000);
                }
                const std::string id = "a" + std::to_string(++number);
                const std::size_t before = fleet.endlessBytes();
                const auto begin = std::chrono::steady_clock::now();
                const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest(path, id));
                assertBounded(id + " on " + path, fleet.endlessBytes() - before, begin);
                CPPUNIT_ASSERT(response.status != 200 || !response.complete);
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.executionCount(id));
            }
        }
    }

    /// Results of stages and confirmations that results were freed are read by another client than the responses to requests.
    void stageTargetsCannotFillTheMemoryWithFraming()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const auto fault : {FakeFleetTarget::Fault::EndlessChunkHeader, FakeFleetTarget::Fault::EndlessTrailer}) {
            for (const std::string name : {"stage-1", "stage-2"}) {
                fleet.target(name).setFault(fault, 1'000);
            }
            const std::size_t before = fleet.endlessBytes();
            SiteFleet::Request request = SiteFleet::makeRequest("/stream/x", "b" + std::to_string(static_cast<int>(fault)));
            request.headers = {{"X-Guavalock-Chunk-Count", "1,1"}, {"X-Guavalock-Chunk-Key", "key"}};
            fleet.send(0, request);
            const std::size_t sentBytes = fleet.endlessBytes() - before;
            const std::size_t calls = fleet.target("stage-1").arrivals() + fleet.target("stage-2").arrivals();
            CPPUNIT_ASSERT(calls > 0);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sentBytes) + " bytes in " + std::to_string(calls) + " calls",
                                   sentBytes <= calls * maxSentBytes);
            CPPUNIT_ASSERT_MESSAGE("a call is read until its timeout", fleet.endlessDuration() <= maxDuration);
        }
    }

    /// Four such connections without a key made a daemon hold 1.5 GB within 4 s.
    void clientsCannotFillTheMemoryWithFraming()
    {
        SiteFleet fleet(1);
        fleet.start();
        const std::string head = std::string("POST /once/x HTTP/1.1\r\nHost: h\r\n") + chunked + "\r\n";
        assertClosed("callers", fleet.callers(0), head);
        assertClosed("readiness", fleet.readiness(0), head);
        assertClosed("metrics", fleet.metrics(0), head);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.send(0, SiteFleet::makeRequest("/safe/x", "c1")).status);
    }

    void callersOfPipelinesCannotFillTheMemoryWithFraming()
    {
        Deployment deployment({});
        deployment.start();
        const std::string head = std::string("POST /v1/desk/quote HTTP/1.1\r\nHost: h\r\nX-Organisation: mill\r\n") + chunked + "\r\n";
        assertClosed("callers", deployment.callers().front(), head);
        assertClosed("administration", deployment.administration(0), head);
    }

    /// Of the record store, stage targets, probes and the administration tool.
    void serversOfClientCallsCannotFillTheMemoryWithFraming()
    {
        for (const Form &it : forms()) {
            EndlessServer server(std::string("HTTP/1.1 200 OK\r\n") + chunked + "\r\n", it);
            WorkerPool pool(1);
            HttpClient client(Asio::make_strand(pool.executor()), {FakeAddress::text(), serverPort});
            const auto begin = std::chrono::steady_clock::now();
            const auto response = Asio::co_spawn(pool.executor(), client.call({.path = "/x"}, seconds(3)), Asio::use_future).get();
            assertBounded(it.name, server.sentBytes(), begin);
            CPPUNIT_ASSERT(!response);
            CPPUNIT_ASSERT(client.failure() == HttpClient::Failure::ConnectionLost);
            pool.stop();
        }
    }

    void targetsOfPipelinesCannotFillTheMemoryWithFraming()
    {
        for (const Form &it : forms()) {
            EndlessServer server(std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n") + chunked + "\r\n", it);
            WorkerPool pool(1);
            const auto strand = Asio::make_strand(pool.executor());
            ConnectionTable connections(strand);
            BufferBudget responseMemory;
            const auto cancellation = std::make_shared<Cancellation>(strand);
            const auto dialect = Registry<TargetDialect>::instance().create("service");
            const Slot slot{.address = {FakeAddress::text(), serverPort}, .connectTimeout = seconds(1)};
            const TargetCall call{.requestId = "r", .attemptId = "a", .path = "/x"};
            TargetExchange exchange(connections, responseMemory, *cancellation, nullptr);
            const auto begin = std::chrono::steady_clock::now();
            const TargetExchange::Parameters parameters{slot, *dialect, call, false, begin + seconds(3)};
            const AttemptResult result = Asio::co_spawn(strand, exchange.run(parameters), Asio::use_future).get();
            assertBounded(it.name, server.sentBytes(), begin);
            CPPUNIT_ASSERT(result.outcome == StageAttemptOutcome::Lost);
            pool.stop();
        }
    }

    /// Chunks of one byte are valid, however many come. They end with the route's timeout (2 s) or half a second after the stream's
    /// patience (2 s).
    void noFormOfEndlessResponseHoldsItsCaller()
    {
        using Fault = FakeFleetTarget::Fault;
        SiteFleet fleet(1);
        fleet.start();
        int number = 0;
        for (const Fault fault : {Fault::Endless, Fault::EndlessHead, Fault::EndlessStatusLine, Fault::EndlessInterim, Fault::EndlessChunks,
                                  Fault::EndlessByteChunks}) {
            for (const std::string path : {"/once/x", "/brisk-stream/x"}) {
                for (const std::string name : {"plain-1", "plain-2", "model-1", "model-2"}) {
                    fleet.target(name).setFault(fault, 1'000);
                }
                const std::string id = "e" + std::to_string(++number);
                const std::size_t before = fleet.endlessBytes();
                const auto begin = std::chrono::steady_clock::now();
                const SiteFleet::Response response = fleet.send(0, SiteFleet::makeRequest(path, id));
                const auto duration = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
                const std::size_t sentBytes = fleet.endlessBytes() - before;
                const std::string text
                    = id + " on " + path + ": " + std::to_string(sentBytes) + " bytes in " + std::to_string(duration.count()) + " ms";
                CPPUNIT_ASSERT_MESSAGE(text, response.status != 200 || !response.complete);
                CPPUNIT_ASSERT_MESSAGE(text, sentBytes <= BufferBudget::totalBytes + maxSentBytes);
                CPPUNIT_ASSERT_MESSAGE(text, duration <= (fault == Fault::EndlessByteChunks ? milliseconds(3'000) : maxDuration));
            }
        }
    }

    /// Of the record store, stage targets, probes and the administration tool.
    void noFormOfEndlessResponseFillsAClient()
    {
        const std::string block(64 * 1024, 'x');
        const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        const std::vector<std::pair<std::string, Form>> wholeForms{{"HTTP/1.1 200 ", {"status line", "", block}},
                                                                   {"HTTP/1.1 200 OK\r\nX-Long: ", {"head", "", block}},
                                                                   {interim, {"interim responses", "", interim}},
                                                                   {"HTTP/1.1 200 OK\r\n\r\n", {"body until close", "", block}}};
        for (const auto &[head, form] : wholeForms) {
            EndlessServer server(head, form);
            WorkerPool pool(1);
            HttpClient client(Asio::make_strand(pool.executor()), {FakeAddress::text(), serverPort});
            const auto begin = std::chrono::steady_clock::now();
            const auto response = Asio::co_spawn(pool.executor(), client.call({.path = "/x"}, seconds(3)), Asio::use_future).get();
            assertBounded(form.name, server.sentBytes(), begin);
            CPPUNIT_ASSERT_MESSAGE(form.name, !response);
            pool.stop();
        }
    }

    /// Eight bodies of 64 MiB were above the memory of any VM.
    void endlessBodiesOfTargetsOfPipelinesShareABudget()
    {
        EndlessServer server("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n", {"body", "", std::string(64 * 1024, 'x')});
        WorkerPool pool(1);
        const auto strand = Asio::make_strand(pool.executor());
        ConnectionTable connections(strand);
        BufferBudget responseMemory;
        const auto dialect = Registry<TargetDialect>::instance().create("service");
        const Slot slot{.address = {FakeAddress::text(), serverPort}, .connectTimeout = seconds(1)};
        const TargetCall call{.requestId = "r", .attemptId = "a", .path = "/x"};
        const auto cancellation = std::make_shared<Cancellation>(strand);
        const auto deadline = std::chrono::steady_clock::now() + seconds(3);
        std::vector<std::unique_ptr<TargetExchange>> exchanges;
        std::vector<std::future<AttemptResult>> results;
        for (int it = 0; it < 8; ++it) {
            exchanges.push_back(std::make_unique<TargetExchange>(connections, responseMemory, *cancellation, nullptr));
            results.push_back(Asio::co_spawn(strand, exchanges.back()->run({slot, *dialect, call, false, deadline}), Asio::use_future));
        }
        for (auto &it : results) {
            CPPUNIT_ASSERT(it.get().outcome == StageAttemptOutcome::Lost);
        }
        const std::string text = std::to_string(server.sentBytes()) + " bytes";
        CPPUNIT_ASSERT_MESSAGE(text, server.sentBytes() <= BufferBudget::totalBytes + 8 * maxSentBytes);
        pool.stop();
    }

    /// Chunk extensions and trailers are valid, so what fits into the buffer must not be refused.
    void longFramingBelowTheLimitIsAccepted()
    {
        SiteFleet fleet(1);
        fleet.start();
        const std::string name(4'000, 'x');
        const std::string request = std::string("POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Guavalock-Attempt-Id: d1\r\nApi-Key: k1\r\n")
            + chunked + "\r\n4;" + name + "\r\nbody\r\n0;" + name + "\r\nX-Trailer: " + name + "\r\n\r\n";
        const SiteFleet::Response response = fleet.sendBytes(0, request);
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("d1:body"), response.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessMessagesTest);

} // namespace Guavalock

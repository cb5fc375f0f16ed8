#include "Flow/Cancellation.h"
#include "FrontEnds/CallerRequest.h"
#include "FrontEnds/EventStream.h"
#include "FrontEnds/FrontEnd.h"
#include "FrontEnds/FrontEndContext.h"
#include "FrontEnds/HttpExchange.h"
#include "FrontEnds/HttpHandler.h"
#include "FrontEnds/HttpServer.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Kernel/Registration.h"
#include "Pipeline/DaemonContext.h"
#include "Pipeline/PipelineRunner.h"
#include "Settings/ProcessSettings.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/serialize.hpp>

#include <atomic>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr const char *jsonType = "application/json";
constexpr const char *eventStreamType = "text/event-stream";

/// The client API: pipeline requests, and the health check of the load balancer.
class CallerFrontEnd : public FrontEnd, public HttpHandler
{
public:
    explicit CallerFrontEnd(const FrontEndContext &context)
        : m_context(context)
        , m_server(context.daemon, context.daemon.settings.callers, *this)
    {
    }

    void start() override
    {
        m_server.start();
    }

    void announceShutdown() override
    {
        m_healthy = false;
        m_server.closeAfterResponses();
    }

    void stop() override
    {
        m_server.stopAccepting();
    }

    Asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        if (exchange.path() == "/health") {
            co_await sendHealth(exchange);
            co_return;
        }
        Refusal refusal;
        std::optional<PipelineRequest> request = CallerRequest::parse(exchange, m_context.daemon.settings.limits.deadlineMax, refusal);
        if (!request) {
            m_context.daemon.metrics.counter("requests_total{code=\"" + std::to_string(resultNumber(refusal.code)) + "\"}").add();
            co_await exchange.refuse(std::move(refusal), {});
            co_return;
        }
        request->id = m_context.daemon.incarnation + "-" + std::to_string(++m_requests);
        request->received = m_context.daemon.clock.now();
        if (boost::algorithm::icontains(exchange.header("Accept"), eventStreamType)) {
            co_await sendEventStream(exchange, std::move(*request));
        } else {
            co_await sendCompleteResponse(exchange, std::move(*request));
        }
    }

private:
    Asio::awaitable<void> sendHealth(HttpExchange &exchange)
    {
        const bool healthy = m_healthy;
        co_await exchange.respond(healthy ? 200 : 503, "text/plain", healthy ? "ok\n" : "stopping\n");
    }

    Asio::awaitable<void> sendCompleteResponse(HttpExchange &exchange, PipelineRequest request)
    {
        const std::string id = request.id;
        PipelineResponse answer = co_await m_context.pipelines.run(std::move(request), nullptr, exchange.cancellation());
        if (!answer.output) {
            co_await exchange.refuse(std::move(answer.refusal), id);
            co_return;
        }
        (*answer.output)["request_id"] = id;
        co_await exchange.respond(200, jsonType, boost::json::serialize(*answer.output));
    }

    Asio::awaitable<void> sendEventStream(HttpExchange &exchange, PipelineRequest request)
    {
        const std::string id = request.id;
        EventStream stream(exchange);
        PipelineResponse answer = co_await m_context.pipelines.run(std::move(request), &stream, exchange.cancellation());
        if (answer.output) {
            co_await stream.end(std::move(*answer.output), id);
        } else {
            co_await stream.refuse(std::move(answer.refusal), id);
        }
    }

    FrontEndContext m_context;
    HttpServer m_server;
    std::atomic<bool> m_healthy{true};
    std::atomic<std::uint64_t> m_requests{0};
};

const Registration<FrontEnd, CallerFrontEnd, const FrontEndContext &> registration("callers", "pipeline requests over HTTP");

} // namespace

} // namespace Guavalock

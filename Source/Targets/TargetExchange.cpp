#include "Targets/TargetExchange.h"

#include "Flow/CancelScope.h"
#include "Flow/DeadlineTimer.h"
#include "Flow/TokenSink.h"
#include "Net/BufferBudget.h"
#include "Net/Connection.h"
#include "Net/MessageFraming.h"
#include "Tables/Slot.h"
#include "Targets/ConnectionTable.h"
#include "Targets/LoadHeader.h"
#include "Targets/SseReader.h"
#include "Targets/StreamEvent.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr std::size_t readSize = 16 * 1024;
constexpr std::uint64_t maxResponseBytes = 64ULL * 1024 * 1024;
constexpr unsigned httpVersion = 11;

constexpr const char *attemptHeader = "X-Attempt-Id";
constexpr const char *requestHeader = "X-Request-Id";
constexpr const char *deadlineHeader = "X-Deadline-Ms";
constexpr const char *priorityHeader = "X-Priority";
constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
constexpr const char *runHeader = "X-Run";

Http::request<Http::string_body> buildRequest(const TargetExchange::Parameters &parameters)
{
    const TargetCall &call = parameters.call;
    Http::request<Http::string_body> request(Http::verb::post, parameters.dialect.path(call), httpVersion);
    request.set(Http::field::host, parameters.slot.address.text());
    request.set(Http::field::content_type, "application/json");
    request.set(attemptHeader, call.attemptId);
    request.set(requestHeader, call.requestId);
    request.set(deadlineHeader, std::to_string(call.remaining.count()));
    request.set(priorityHeader, call.urgent ? "interactive" : "batch");
    if (!call.idempotencyKey.empty()) {
        request.set(idempotencyKeyHeader, call.idempotencyKey);
    }
    request.body() = parameters.dialect.body(call);
    request.prepare_payload();
    return request;
}

} // namespace

TargetExchange::TargetExchange(ConnectionTable &connections, BufferBudget &responseMemory, Cancellation &cancellation, TokenSink *sink)
    : m_connections(connections)
    , m_responseMemory(responseMemory)
    , m_cancellation(cancellation)
    , m_sink(sink)
{
}

TargetExchange::~TargetExchange() = default;

Asio::awaitable<AttemptResult> TargetExchange::run(Parameters parameters)
{
    if (m_cancellation.cause()) {
        finishInterrupted("cancelled before the call was sent");
        co_return std::move(m_result);
    }
    const DeadlineTimer timer(m_cancellation.strand(), parameters.deadline, [this] {
        if (m_connection) {
            m_connection->close();
        }
    });
    m_timer = &timer;
    const CancelScope scope(m_cancellation, [this] {
        if (m_connection) {
            m_connection->close();
        }
    });
    if (co_await connect(parameters) && co_await send(parameters)) {
        co_await readResponse(parameters);
    }
    const bool reusable = m_parser && m_parser->is_done() && m_parser->keep_alive();
    if (reusable && m_result.outcome == StageAttemptOutcome::Answered) {
        m_connections.release(std::move(m_connection));
    }
    co_return std::move(m_result);
}

Asio::awaitable<bool> TargetExchange::connect(const Parameters &parameters)
{
    if (parameters.mayReuse) {
        m_connection = m_connections.takeIdle(parameters.slot.address);
        if (m_connection) {
            co_return true;
        }
    }
    m_connection = m_connections.create(parameters.slot.address);
    const DeadlineTimer timer(m_cancellation.strand(), Clock::TimePoint::clock::now() + parameters.slot.connectTimeout,
                              [this] { m_connection->close(); });
    if (!co_await m_connection->connect()) {
        finishInterrupted("the target " + parameters.slot.target + " did not accept a connection");
        co_return false;
    }
    co_return true;
}

Asio::awaitable<bool> TargetExchange::send(const Parameters &parameters)
{
    const Http::request<Http::string_body> request = buildRequest(parameters);
    // From here on, data may have reached the target even if the write fails.
    m_sent = true;
    const auto [ec, n] = co_await Http::async_write(m_connection->socket(), request, Asio::as_tuple(Asio::use_awaitable));
    if (ec) {
        finishInterrupted("the connection was closed while the request was being sent");
        co_return false;
    }
    co_return true;
}

Asio::awaitable<void> TargetExchange::readResponse(const Parameters &parameters)
{
    m_parser = std::make_unique<Parser>();
    m_parser->body_limit(maxResponseBytes);
    const auto [ec, n]
        = co_await Http::async_read_header(m_connection->socket(), m_connection->buffer(), *m_parser, Asio::as_tuple(Asio::use_awaitable));
    if (ec) {
        finishInterrupted("the connection was closed before the response header was received");
        co_return;
    }
    if (const std::optional<std::string> fault = MessageFraming::findResponseFault(m_parser->get())) {
        finish(StageAttemptOutcome::Invalid, *fault);
        co_return;
    }
    if (!checkHeader(parameters)) {
        co_return;
    }
    if (m_parser->get().result() != Http::status::ok) {
        handleErrorStatus(m_parser->get().result_int(), m_parser->get()[runHeader]);
        co_return;
    }
    if (parameters.dialect.streams()) {
        co_await readStream(parameters);
    } else {
        co_await readBody(parameters);
    }
}

bool TargetExchange::checkHeader(const Parameters &parameters)
{
    const auto &header = m_parser->get();
    m_result.load = LoadHeader::parse(header[LoadHeader::name]);
    if (header[attemptHeader] == parameters.call.attemptId) {
        return true;
    }
    finish(StageAttemptOutcome::Invalid, "the response belongs to another attempt");
    return false;
}

void TargetExchange::handleErrorStatus(unsigned status, std::string_view run)
{
    const std::string detail = "the target responded with HTTP status " + std::to_string(status);
    if (run == "no") {
        finish(StageAttemptOutcome::Rejected, detail);
    } else if (run == "yes") {
        finish(StageAttemptOutcome::Failed, detail);
    } else {
        finish(StageAttemptOutcome::Invalid, detail + " and did not report whether the call was executed");
    }
}

boost::system::error_code TargetExchange::parseReceived(std::string &bytes)
{
    std::array<char, readSize> buf;
    ReadBuffer &received = m_connection->buffer();
    while (received.size() > 0 && !m_parser->is_done()) {
        m_parser->get().body().data = buf.data();
        m_parser->get().body().size = buf.size();
        boost::system::error_code ec;
        const std::size_t used = m_parser->put(received.data(), ec);
        received.consume(used);
        bytes.append(buf.data(), buf.size() - m_parser->get().body().size);
        if (ec == Http::error::need_more) {
            return {};
        }
        if (ec && ec != Http::error::need_buffer) {
            return ec;
        }
    }
    return {};
}

Asio::awaitable<bool> TargetExchange::readSome(std::string &bytes)
{
    bytes.clear();
    // All received data is parsed before the next read, so that a fast stream is forwarded in larger chunks.
    boost::system::error_code ec = parseReceived(bytes);
    while (!ec && bytes.empty() && !m_parser->is_done()) {
        ReadBuffer &received = m_connection->buffer();
        if (received.remaining() == 0) {
            finishInterrupted("a chunk header or the trailer of the response exceeds the size limit");
            co_return false;
        }
        const std::size_t size = std::min(readSize, received.remaining());
        const auto [readError, n]
            = co_await m_connection->socket().async_read_some(received.prepare(size), Asio::as_tuple(Asio::use_awaitable));
        received.commit(n);
        ec = readError;
        if (readError == Asio::error::eof) {
            m_parser->put_eof(ec);
        } else if (!readError) {
            ec = parseReceived(bytes);
        }
    }
    if (ec) {
        finishInterrupted("the connection was closed before the response was complete");
        co_return false;
    }
    co_return true;
}

Asio::awaitable<void> TargetExchange::readBody(const Parameters &parameters)
{
    std::string body;
    std::string bytes;
    BufferBudget::Share memory(m_responseMemory);
    while (!m_parser->is_done()) {
        if (!co_await readSome(bytes)) {
            co_return;
        }
        body += bytes;
        if (!memory.grow(body.size())) {
            finishInterrupted("the response exceeds the memory that all responses share");
            co_return;
        }
    }
    Reason reason;
    std::optional<boost::json::object> output = parameters.dialect.parseResponse(body, reason);
    if (!output) {
        finish(StageAttemptOutcome::Invalid, reason.text);
        co_return;
    }
    m_result.output = std::move(*output);
    finish(StageAttemptOutcome::Answered, {});
}

Asio::awaitable<void> TargetExchange::readStream(const Parameters &parameters)
{
    SseReader reader;
    std::string bytes;
    bool ended = false;
    while (!m_parser->is_done()) {
        if (!co_await readSome(bytes)) {
            co_return;
        }
        bool valid = true;
        std::vector<GeneratedToken> tokens;
        const std::vector<std::string> events = reader.feed(bytes, valid);
        if (!valid || !processEvents(parameters, events, tokens, ended)) {
            finish(StageAttemptOutcome::Invalid, valid ? m_result.detail : "an event of the target's stream exceeds the size limit");
            co_return;
        }
        if (!tokens.empty() && co_await m_sink->accept(std::move(tokens)) == TokenSink::Next::Stop) {
            finish(m_cancellation.cause() ? StageAttemptOutcome::Cancelled : StageAttemptOutcome::Invalid,
                   "the stream does not continue the text received so far");
            co_return;
        }
    }
    if (!ended) {
        finish(StageAttemptOutcome::Lost, "the stream ended without usage totals");
        co_return;
    }
    finish(StageAttemptOutcome::Answered, {});
}

bool TargetExchange::processEvents(const Parameters &parameters, const std::vector<std::string> &events,
                                   std::vector<GeneratedToken> &tokens, bool &ended)
{
    for (const std::string &it : events) {
        if (ended) {
            return true;
        }
        Reason reason;
        std::optional<StreamEvent> event = parameters.dialect.parseEvent(it, parameters.call.attemptId, reason);
        if (!event || event->kind == StreamEvent::Kind::Failure) {
            m_result.detail = event ? event->text : reason.text;
            return false;
        }
        if (!event->matchesAttempt) {
            m_result.detail = "an event of the stream belongs to another attempt";
            return false;
        }
        if (event->kind == StreamEvent::Kind::End) {
            ended = true;
            m_result.tokensIn = event->promptTokens;
            m_result.tokensOut = event->position - std::min(event->position, parameters.call.position);
            m_result.output["tokens"] = event->position;
        } else {
            tokens.push_back({event->position, std::move(event->text)});
        }
    }
    return true;
}

void TargetExchange::finishInterrupted(std::string detail)
{
    if (m_cancellation.cause()) {
        m_result.cause = m_cancellation.cause();
        finish(m_sent ? StageAttemptOutcome::Cancelled : StageAttemptOutcome::Withdrawn, std::move(detail));
    } else if (m_timer != nullptr && m_timer->expired()) {
        m_result.cause = RefusalCause::DeadlineUnreachable;
        finish(m_sent ? StageAttemptOutcome::TimedOut : StageAttemptOutcome::Withdrawn, "the stage deadline passed");
    } else {
        finish(m_sent ? StageAttemptOutcome::Lost : StageAttemptOutcome::NotSent, std::move(detail));
    }
}

void TargetExchange::finish(StageAttemptOutcome end, std::string detail)
{
    m_result.outcome = end;
    m_result.detail = std::move(detail);
}

} // namespace Guavalock

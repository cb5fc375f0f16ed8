#include "Relay/RelaySession.h"

#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Flow/Cancellation.h"
#include "Flow/DeadlineTimer.h"
#include "FrontEnds/RefusalJson.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Net/DisconnectWatch.h"
#include "Net/MessageFraming.h"
#include "Relay/RelayCodec.h"
#include "Relay/RelayJob.h"
#include "Relay/StopSchedule.h"
#include "Relay/UnansweredRequests.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <cstdio>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr std::chrono::milliseconds bodyTimeout{
    10'000}; ///< Timeout for receiving a request body. Clients on this network need milliseconds.

std::string chunk(const std::string &data)
{
    std::array<char, 20> size{};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return std::string(size.data(), static_cast<std::size_t>(n)) + data + "\r\n";
}

} // namespace

RelaySession::RelaySession(const RelayContext &context, Asio::ip::tcp::socket socket, SharedState &sharedState)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_sharedState(sharedState)
{
    boost::system::error_code ignored;
    m_socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
    ++m_sharedState.connections;
}

RelaySession::~RelaySession()
{
    --m_sharedState.connections;
}

bool RelaySession::closesAfterResponse() const
{
    return !m_keepAlive || m_sharedState.draining;
}

Asio::awaitable<void> RelaySession::run()
{
    while (m_keepAlive && m_socket.is_open()) {
        std::optional<OpaqueRequest> request = co_await readRequest();
        if (!request) {
            break;
        }
        // Counted before `closed` is read, so that a stopping daemon either refuses the request or waits for it.
        ++m_sharedState.requests;
        const bool closed = m_sharedState.closed;
        if (closed) {
            co_await rejectRequest(ResultCode::Draining, "the daemon is shutting down");
        } else {
            co_await serve(std::move(*request));
        }
        --m_sharedState.requests;
        // A connection whose client was not told may already carry the next request.
        if (m_closeAnnounced) {
            break;
        }
    }
    boost::system::error_code ignored;
    m_socket.shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
    m_socket.close(ignored);
}

Asio::awaitable<bool> RelaySession::waitForRequest()
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    const std::shared_ptr<const Catalogue> catalogue = m_context.catalogue.current();
    const CallerLimits limits = catalogue ? catalogue->limits() : CallerLimits();
    const DeadlineTimer idle(m_socket.get_executor(), m_context.clock.now() + limits.idleTimeout, [this] { m_socket.close(); });
    const auto [ec] = co_await m_socket.async_wait(Asio::ip::tcp::socket::wait_read, Asio::as_tuple(Asio::use_awaitable));
    co_return !ec && m_socket.is_open();
}

Asio::awaitable<bool> RelaySession::rejectRequest(ResultCode code, std::string reason)
{
    m_keepAlive = false;
    Refusal refusal = Refusal::of(code, RunState::No, std::move(reason));
    if (code == ResultCode::Draining) {
        refusal.retryAfter = StopSchedule::retryAfter;
    }
    co_return co_await sendRefusal(refusal);
}

Asio::awaitable<bool> RelaySession::readBody(Parser &parser)
{
    if (parser.is_done()) {
        co_return true;
    }
    if (boost::beast::iequals(parser.get()[Http::field::expect], "100-continue")) {
        co_await write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    const DeadlineTimer timer(m_socket.get_executor(), m_context.clock.now() + bodyTimeout, [this] { m_socket.close(); });
    const auto [ec, n] = co_await Http::async_read(m_socket, m_buffer, parser, Asio::as_tuple(Asio::use_awaitable));
    if (ec == Http::error::body_limit) {
        co_await rejectRequest(ResultCode::BodyTooLarge, "the request body exceeds the size limit");
    } else if (ec == Http::error::buffer_overflow) {
        co_await rejectRequest(ResultCode::HeaderTooLarge, "a chunk header or the trailer of the request exceeds the size limit");
    } else if (ec && ec.category() == Http::make_error_code(Http::error::bad_value).category() && ec != Http::error::partial_message) {
        co_await rejectRequest(ResultCode::MalformedRequest, ec.message());
    }
    co_return !ec;
}

Asio::awaitable<std::optional<OpaqueRequest>> RelaySession::readRequest()
{
    const bool waiting = co_await waitForRequest();
    if (!waiting) {
        co_return std::nullopt;
    }
    const std::shared_ptr<const Catalogue> catalogue = m_context.catalogue.current();
    const CallerLimits limits = catalogue ? catalogue->limits() : CallerLimits();
    const Clock::TimePoint arrived = m_context.clock.now();
    Parser parser;
    m_buffer.ensureLimit(limits.headerBytes);
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    {
        const DeadlineTimer timer(m_socket.get_executor(), arrived + limits.headerTimeout, [this] { m_socket.close(); });
        const auto [ec, n] = co_await Http::async_read_header(m_socket, m_buffer, parser, Asio::as_tuple(Asio::use_awaitable));
        if (ec == Http::error::header_limit || ec == Http::error::buffer_overflow) {
            co_await rejectRequest(ResultCode::HeaderTooLarge, "the request headers exceed the size limit");
            co_return std::nullopt;
        }
        if (ec == Http::error::body_limit) {
            co_await rejectRequest(ResultCode::BodyTooLarge, "the request body exceeds the size limit");
            co_return std::nullopt;
        }
        if (ec) {
            if (m_socket.is_open() && ec != Http::error::end_of_stream && ec != Http::error::partial_message
                && ec.category() == Http::make_error_code(Http::error::bad_value).category()) {
                co_await rejectRequest(ResultCode::MalformedRequest, ec.message());
            }
            co_return std::nullopt;
        }
    }
    m_isHeadRequest = parser.get().method() == Http::verb::head;
    if (const std::optional<std::string> fault = MessageFraming::findFault(parser.get(), parser.get().version())) {
        co_await rejectRequest(ResultCode::MalformedRequest, *fault);
        co_return std::nullopt;
    }
    m_keepAlive = parser.keep_alive();
    const bool read = co_await readBody(parser);
    if (!read) {
        co_return std::nullopt;
    }
    Reason reason;
    std::optional<OpaqueRequest> request = m_context.codec.parseRequest(parser.get().base(), reason);
    if (!request) {
        co_await rejectRequest(reason.code, reason.text);
        co_return std::nullopt;
    }
    request->body = std::move(parser.get().body());
    request->receivedAt = arrived;
    co_return request;
}

Asio::awaitable<void> RelaySession::serve(OpaqueRequest request)
{
    const auto cancellation = std::make_shared<Cancellation>(m_socket.get_executor());
    const DisconnectWatch watch(m_socket, [&cancellation] { cancellation->cancel(RefusalCause::CallerClosed); });
    m_context.unanswered.add(cancellation);
    RelayJob job(m_context, std::move(request), *this, *cancellation);
    co_await job.run();
    m_context.unanswered.remove(*cancellation);
}

std::string RelaySession::formatHead(unsigned status, const HttpFields &fields)
{
    const auto reason = Http::obsolete_reason(static_cast<Http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason) + "\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (closesAfterResponse()) {
        m_closeAnnounced = true;
        text += "Connection: close\r\n";
    }
    return text;
}

std::string RelaySession::formatResponse(unsigned status, const HttpFields &fields, const std::string &body)
{
    const std::string head = formatHead(status, fields);
    if (status == static_cast<unsigned>(Http::status::no_content) || status == static_cast<unsigned>(Http::status::not_modified)) {
        return head + "\r\n";
    }
    // The body of a response to HEAD is unknown if a target made it, and so is its length.
    if (m_isHeadRequest) {
        return head + "\r\n";
    }
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Asio::awaitable<bool> RelaySession::write(std::string text)
{
    if (m_isLost) {
        co_return false;
    }
    const auto [ec, n] = co_await Asio::async_write(m_socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
    if (ec) {
        m_keepAlive = false;
        m_isLost = true;
    }
    co_return !ec;
}

Asio::awaitable<bool> RelaySession::sendComplete(const UpstreamResponseHead &head, const std::string &body)
{
    co_return co_await write(formatResponse(head.status, head.headers, body));
}

Asio::awaitable<bool> RelaySession::startStream(const UpstreamResponseHead &head)
{
    m_pendingHead = formatHead(head.status, head.headers) + "Transfer-Encoding: chunked\r\n\r\n";
    co_return m_socket.is_open();
}

Asio::awaitable<bool> RelaySession::sendChunk(const std::string &data)
{
    const std::string text = std::exchange(m_pendingHead, {}) + chunk(data);
    co_return co_await write(text);
}

Asio::awaitable<bool> RelaySession::finishStream()
{
    const std::string text = std::exchange(m_pendingHead, {}) + "0\r\n\r\n";
    co_return co_await write(text);
}

Asio::awaitable<bool> RelaySession::sendRefusal(const Refusal &refusal)
{
    HttpFields fields{{"Content-Type", "application/json"}};
    if (refusal.retryAfter) {
        fields.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(*refusal.retryAfter).count()));
    }
    const std::string body = boost::json::serialize(RefusalJson::fromRefusal(refusal, {}));
    const unsigned status = m_context.codec.httpStatus(refusal);
    co_return co_await write(formatResponse(status, fields, body));
}

void RelaySession::abortStream()
{
    m_keepAlive = false;
    boost::system::error_code ignored;
    m_socket.set_option(Asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

} // namespace Guavalock

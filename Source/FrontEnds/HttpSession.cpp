#include "FrontEnds/HttpSession.h"

#include "Flow/Cancellation.h"
#include "Flow/DeadlineTimer.h"
#include "FrontEnds/HttpExchange.h"
#include "FrontEnds/HttpHandler.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Net/DisconnectWatch.h"
#include "Net/MessageFraming.h"
#include "Pipeline/DaemonContext.h"
#include "Settings/ProcessSettings.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

/// Returns the result code for a failed read, or Ok if no response is due, such as when the client has disconnected.
ResultCode resultCodeForReadError(const boost::system::error_code &ec, bool timedOut, bool anyDataRead)
{
    if (timedOut) {
        return anyDataRead ? ResultCode::RequestTooSlow : ResultCode::Ok;
    }
    if (ec == Http::error::header_limit || ec == Http::error::buffer_overflow) {
        return ResultCode::HeaderTooLarge;
    }
    if (ec == Http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    if (ec == Http::error::partial_message) {
        return ResultCode::MalformedRequest;
    }
    const bool isProtocolError = ec.category() == Http::make_error_code(Http::error::bad_method).category();
    return isProtocolError && ec != Http::error::end_of_stream ? ResultCode::MalformedRequest : ResultCode::Ok;
}

} // namespace

HttpSession::HttpSession(const DaemonContext &context, Asio::ip::tcp::socket socket, HttpHandler &handler, const std::atomic<bool> &closing)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_handler(handler)
    , m_closeAfterResponse(closing)
{
    boost::system::error_code ignored;
    m_socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
}

Asio::awaitable<void> HttpSession::run()
{
    for (;;) {
        if (m_buffer.size() == 0 && !co_await waitForData()) {
            co_return;
        }
        ResultCode code = ResultCode::Ok;
        std::optional<Request> request = co_await readRequest(code);
        if (!request) {
            if (code != ResultCode::Ok) {
                co_await refuse(code);
            }
            co_return;
        }
        const auto cancellation = std::make_shared<Cancellation>(m_socket.get_executor());
        HttpExchange exchange(m_socket, std::move(*request), cancellation, m_closeAfterResponse);
        {
            const DisconnectWatch watch(m_socket, [&cancellation] { cancellation->cancel(RefusalCause::CallerClosed); });
            co_await m_handler.handle(exchange);
        }
        if (!exchange.keepAlive()) {
            boost::system::error_code ignored;
            m_socket.shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
            co_return;
        }
    }
}

Asio::awaitable<bool> HttpSession::waitForData()
{
    const DeadlineTimer timer(m_socket.get_executor(), m_context.clock.now() + m_context.settings.limits.idleTimeout, [this] {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    });
    // No buffer is allocated before the first byte arrives, which keeps the memory of idle connections small.
    const auto [ec] = co_await m_socket.async_wait(Asio::ip::tcp::socket::wait_read, Asio::as_tuple(Asio::use_awaitable));
    co_return !ec;
}

Asio::awaitable<std::optional<HttpSession::Request>> HttpSession::readRequest(ResultCode &code)
{
    Http::request_parser<Http::string_body> parser;
    m_buffer.ensureLimit(m_context.settings.limits.headerBytes);
    parser.header_limit(static_cast<std::uint32_t>(m_context.settings.limits.headerBytes));
    parser.body_limit(m_context.settings.limits.bodyBytes);
    const DeadlineTimer timer(m_socket.get_executor(), m_context.clock.now() + m_context.settings.limits.receiveTimeout, [this] {
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    });
    const auto [headError, headSize] = co_await Http::async_read_header(m_socket, m_buffer, parser, Asio::as_tuple(Asio::use_awaitable));
    if (headError) {
        code = resultCodeForReadError(headError, timer.expired(), headSize > 0 || m_buffer.size() > 0);
        co_return std::nullopt;
    }
    if (MessageFraming::findFault(parser.get(), parser.get().version())) {
        code = ResultCode::MalformedRequest;
        co_return std::nullopt;
    }
    const auto [ec, n] = co_await Http::async_read(m_socket, m_buffer, parser, Asio::as_tuple(Asio::use_awaitable));
    if (ec) {
        code = resultCodeForReadError(ec, timer.expired(), true);
        co_return std::nullopt;
    }
    co_return parser.release();
}

Asio::awaitable<void> HttpSession::refuse(ResultCode code)
{
    m_context.metrics.counter("requests_unreadable_total").add();
    Request none;
    none.version(11);
    HttpExchange exchange(m_socket, std::move(none), std::make_shared<Cancellation>(m_socket.get_executor()), true);
    Refusal refusal = Refusal::of(code, RunState::No, std::string(resultCodeInfo(code).meaning));
    co_await exchange.refuse(std::move(refusal), {});
    boost::system::error_code ignored;
    m_socket.shutdown(Asio::ip::tcp::socket::shutdown_send, ignored);
    // Discard further input for a while before closing: closing a socket with unread data sends a reset, which may destroy the refusal
    // before the client reads it.
    constexpr std::chrono::milliseconds drainTime{500};
    const DeadlineTimer timer(m_socket.get_executor(), m_context.clock.now() + drainTime, [this] {
        boost::system::error_code closed;
        m_socket.close(closed);
    });
    m_buffer.clear();
    const std::uint64_t limit = m_context.settings.limits.headerBytes + m_context.settings.limits.bodyBytes; // More is no valid request.
    std::uint64_t discarded = 0;
    while (discarded < limit) {
        const auto [ec, n] = co_await m_socket.async_read_some(m_buffer.prepare(4096), Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            co_return;
        }
        discarded += n;
    }
}

} // namespace Guavalock

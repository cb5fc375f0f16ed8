#include "FrontEnds/HttpExchange.h"

#include "Flow/Cancellation.h"
#include "FrontEnds/RefusalJson.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <cstdio>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr unsigned httpVersion = 11;

std::string chunkHeader(std::size_t size)
{
    std::array<char, 20> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", size);
    return {buf.data(), static_cast<std::size_t>(n)};
}

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

HttpExchange::HttpExchange(Asio::ip::tcp::socket &socket, Request request, std::shared_ptr<Cancellation> cancellation, bool closeAfter)
    : m_socket(socket)
    , m_request(std::move(request))
    , m_cancellation(std::move(cancellation))
    , m_keepAlive(m_request.keep_alive() && !closeAfter)
{
}

std::string_view HttpExchange::method() const
{
    return toStringView(m_request.method_string());
}

std::string_view HttpExchange::path() const
{
    const std::string_view target = toStringView(m_request.target());
    return target.substr(0, target.find('?'));
}

std::string_view HttpExchange::header(std::string_view name) const
{
    return toStringView(m_request[boost::beast::string_view(name.data(), name.size())]);
}

const std::string &HttpExchange::body() const
{
    return m_request.body();
}

Cancellation &HttpExchange::cancellation()
{
    return *m_cancellation;
}

Asio::awaitable<void> HttpExchange::respond(unsigned status, std::string_view contentType, std::string body)
{
    Response response(Http::int_to_status(status), httpVersion);
    response.set(Http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    response.keep_alive(m_keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    co_await write(response);
}

Asio::awaitable<void> HttpExchange::refuse(Refusal refusal, std::string requestId)
{
    const ResultCodeInfo &info = resultCodeInfo(refusal.code);
    Response response(Http::status::ok, httpVersion);
    response.result(info.httpStatus);
    response.set(Http::field::content_type, "application/json");
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        response.set(Http::field::retry_after, std::to_string(seconds.count()));
    }
    response.keep_alive(m_keepAlive);
    response.body() = boost::json::serialize(RefusalJson::fromRefusal(refusal, requestId));
    response.prepare_payload();
    co_await write(response);
}

Asio::awaitable<void> HttpExchange::write(Response &response)
{
    if (m_request.method() == Http::verb::head) {
        response.body().clear(); // Its length stays in the head.
    }
    if (m_isLost) {
        co_return;
    }
    const auto [ec, n] = co_await Http::async_write(m_socket, response, Asio::as_tuple(Asio::use_awaitable));
    applyWrite(ec);
}

bool HttpExchange::applyWrite(const boost::system::error_code &ec)
{
    if (!ec) {
        return true;
    }
    m_keepAlive = false;
    m_isLost = true;
    m_cancellation->cancel(RefusalCause::CallerClosed);
    return false;
}

Asio::awaitable<bool> HttpExchange::startEventStream()
{
    m_streaming = true;
    if (m_isLost) {
        co_return false;
    }
    Http::response<Http::empty_body> response(Http::status::ok, httpVersion);
    response.set(Http::field::content_type, "text/event-stream");
    response.set(Http::field::cache_control, "no-store");
    response.keep_alive(m_keepAlive);
    response.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(response);
    const auto [ec, n] = co_await Http::async_write_header(m_socket, serializer, Asio::as_tuple(Asio::use_awaitable));
    co_return applyWrite(ec);
}

Asio::awaitable<bool> HttpExchange::sendEvents(std::string bytes)
{
    if (m_isLost) {
        co_return false;
    }
    // A single buffer with chunk header and trailer costs less than a sequence of three buffers.
    std::string chunk = chunkHeader(bytes.size());
    chunk += bytes;
    chunk += "\r\n";
    const auto [ec, n] = co_await Asio::async_write(m_socket, Asio::buffer(chunk), Asio::as_tuple(Asio::use_awaitable));
    co_return applyWrite(ec);
}

Asio::awaitable<void> HttpExchange::endEventStream()
{
    if (m_isLost) {
        co_return;
    }
    const auto [ec, n] = co_await Asio::async_write(m_socket, Http::make_chunk_last(), Asio::as_tuple(Asio::use_awaitable));
    applyWrite(ec);
}

bool HttpExchange::streaming() const
{
    return m_streaming;
}

bool HttpExchange::keepAlive() const
{
    return m_keepAlive;
}

} // namespace Guavalock

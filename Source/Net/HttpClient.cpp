#include "Net/HttpClient.h"

#include "Flow/DeadlineTimer.h"
#include "Net/Connection.h"
#include "Net/MessageFraming.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr unsigned httpVersion = 11;
constexpr const char *loadHeader = "X-Load";

} // namespace

HttpClient::HttpClient(Asio::any_io_executor strand, Endpoint endpoint, std::uint64_t maxResponseBytes)
    : m_strand(std::move(strand))
    , m_endpoint(std::move(endpoint))
    , m_maxResponseBytes(maxResponseBytes)
{
}

HttpClient::~HttpClient() = default;

Asio::awaitable<std::optional<HttpClient::Response>> HttpClient::call(Request request, std::chrono::milliseconds timeout)
{
    if (!m_connection || !m_connection->reusable()) {
        m_connection = std::make_unique<Connection>(m_strand, m_endpoint);
    }
    const DeadlineTimer timer(m_strand, Clock::TimePoint::clock::now() + timeout, [this] { m_connection->close(); });
    m_failure = Failure::None;
    std::optional<Response> response = co_await exchange(request);
    if (!response) {
        m_connection->close();
        m_failure = m_failure == Failure::NotConnected ? m_failure : timer.expired() ? Failure::TimedOut : Failure::ConnectionLost;
    }
    co_return response;
}

Asio::awaitable<std::optional<HttpClient::Response>> HttpClient::call(Request request, std::chrono::milliseconds connectTimeout,
                                                                      std::chrono::milliseconds timeout)
{
    m_connectTimeout = connectTimeout;
    co_return co_await call(std::move(request), timeout);
}

HttpClient::Failure HttpClient::failure() const
{
    return m_failure;
}

bool HttpClient::reused() const
{
    return m_reused;
}

Asio::awaitable<bool> HttpClient::ensureConnected()
{
    m_reused = m_connection->socket().is_open();
    if (m_reused) {
        co_return true;
    }
    std::optional<DeadlineTimer> connectTimer;
    if (m_connectTimeout) {
        connectTimer.emplace(m_strand, Clock::TimePoint::clock::now() + *m_connectTimeout, [this] { m_connection->close(); });
    }
    const bool established = co_await m_connection->connect();
    m_failure = established ? Failure::None : Failure::NotConnected;
    co_return established;
}

Asio::awaitable<std::optional<HttpClient::Response>> HttpClient::exchange(const Request &request)
{
    const bool open = co_await ensureConnected();
    if (!open) {
        co_return std::nullopt;
    }
    Http::request<Http::string_body> message(Http::string_to_verb(request.method), request.path, httpVersion);
    message.set(Http::field::host, m_endpoint.text());
    message.set(Http::field::content_type, "application/json");
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    const auto [written, sent] = co_await Http::async_write(m_connection->socket(), message, Asio::as_tuple(Asio::use_awaitable));
    if (written) {
        co_return std::nullopt;
    }
    Http::response_parser<Http::string_body> parser;
    parser.body_limit(m_maxResponseBytes);
    const auto [ec, n]
        = co_await Http::async_read(m_connection->socket(), m_connection->buffer(), parser, Asio::as_tuple(Asio::use_awaitable));
    if (ec || MessageFraming::findResponseFault(parser.get())) {
        co_return std::nullopt;
    }
    Response response{parser.get().result_int(), std::move(parser.get().body()), std::string(parser.get()[loadHeader]), {}};
    for (const auto &it : parser.get()) {
        response.headers.emplace_back(it.name_string(), it.value());
    }
    if (!parser.keep_alive()) {
        m_connection->close();
    }
    co_return response;
}

} // namespace Guavalock

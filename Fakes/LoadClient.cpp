#include "LoadClient.h"

#include "Flow/DeadlineTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

LoadClient::LoadClient(Asio::any_io_executor strand)
    : m_strand(std::move(strand))
{
}

Asio::awaitable<bool> LoadClient::connect(const Endpoint &daemon)
{
    if (m_socket && m_socket->is_open() && m_daemon == daemon) {
        co_return true;
    }
    m_socket = std::make_unique<Asio::ip::tcp::socket>(m_strand);
    m_buffer.clear();
    m_daemon = daemon;
    const Asio::ip::tcp::endpoint remote(Asio::ip::make_address(daemon.address), daemon.port);
    const auto [ec] = co_await m_socket->async_connect(remote, Asio::as_tuple(Asio::use_awaitable));
    if (ec) {
        m_socket.reset();
        co_return false;
    }
    boost::system::error_code ignored;
    m_socket->set_option(Asio::ip::tcp::no_delay(true), ignored);
    co_return true;
}

Asio::awaitable<LoadClient::Response> LoadClient::send(const Endpoint &daemon, Request request)
{
    Response response;
    response.connected = co_await connect(daemon);
    if (!response.connected) {
        co_return response;
    }
    Http::request<Http::string_body> message(Http::verb::post, request.path, 11);
    message.set(Http::field::host, daemon.text());
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    if (request.stream) {
        message.set(Http::field::accept, "text/event-stream");
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    std::unique_ptr<DeadlineTimer> disconnectTimer;
    if (request.disconnectAfter.count() > 0) {
        disconnectTimer = std::make_unique<DeadlineTimer>(m_strand, Clock::TimePoint::clock::now() + request.disconnectAfter, [this] {
            boost::system::error_code ignored;
            m_socket->close(ignored);
        });
    }
    const auto [writeError, bytesWritten] = co_await Http::async_write(*m_socket, message, Asio::as_tuple(Asio::use_awaitable));
    if (writeError) {
        m_socket.reset();
        co_return response;
    }
    Http::response_parser<Http::buffer_body> parser;
    parser.body_limit(std::uint64_t(256) * 1024 * 1024);
    const auto [headerError, headerBytes]
        = co_await Http::async_read_header(*m_socket, m_buffer, parser, Asio::as_tuple(Asio::use_awaitable));
    if (headerError) {
        m_socket.reset();
        co_return response;
    }
    response.status = parser.get().result_int();
    response.contentType = parser.get()[Http::field::content_type];
    std::array<char, 16 * 1024> buffer;
    while (!parser.is_done()) {
        parser.get().body().data = buffer.data();
        parser.get().body().size = buffer.size();
        const auto [ec, n] = co_await Http::async_read_some(*m_socket, m_buffer, parser, Asio::as_tuple(Asio::use_awaitable));
        if (ec && ec != Http::error::need_buffer) {
            m_socket.reset();
            co_return response;
        }
        const std::size_t received = buffer.size() - parser.get().body().size;
        response.body.append(buffer.data(), received);
        if (onBodyBytes) {
            onBodyBytes(received);
        }
    }
    response.complete = true;
    if (!parser.keep_alive()) {
        m_socket.reset();
    }
    co_return response;
}

} // namespace Guavalock

#include "FakeServer.h"

#include "FakeAddress.h"

#include "Net/SocketState.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

FakeServer::FakeServer(Asio::any_io_executor strand, std::uint16_t port, Handler handler)
    : m_strand(std::move(strand))
    , m_port(port)
    , m_handler(std::move(handler))
    , m_acceptor(m_strand)
{
}

void FakeServer::listen()
{
    const Asio::ip::tcp::endpoint local(Asio::ip::make_address(FakeAddress::text()), m_port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(Asio::socket_base::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen();
    Asio::co_spawn(m_strand, accept(), Asio::detached);
}

void FakeServer::closeAll()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const std::shared_ptr<Socket> &it : m_sockets) {
        it->close(ignored);
    }
}

const Asio::any_io_executor &FakeServer::strand() const
{
    return m_strand;
}

std::size_t FakeServer::connectionCount() const
{
    return m_connectionCount;
}

Asio::awaitable<void> FakeServer::accept()
{
    for (;;) {
        const auto socket = std::make_shared<Socket>(m_strand);
        const auto [ec] = co_await m_acceptor.async_accept(*socket, Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            co_return;
        }
        boost::system::error_code ignored;
        socket->set_option(Asio::ip::tcp::no_delay(true), ignored);
        Asio::co_spawn(m_strand, serve(socket), Asio::detached);
    }
}

Asio::awaitable<void> FakeServer::serve(std::shared_ptr<Socket> socket)
{
    m_sockets.insert(socket);
    m_connectionCount = m_sockets.size();
    boost::beast::flat_buffer buffer;
    for (;;) {
        Http::request_parser<Http::string_body> parser;
        parser.body_limit(std::uint64_t(64) * 1024 * 1024);
        const auto [ec, n] = co_await Http::async_read(*socket, buffer, parser, Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            break;
        }
        const bool keepAlive = parser.keep_alive();
        if (!co_await m_handler(*socket, parser.release()) || !keepAlive) {
            break;
        }
    }
    boost::system::error_code ignored;
    socket->close(ignored);
    m_sockets.erase(socket);
    m_connectionCount = m_sockets.size();
}

Asio::awaitable<bool> FakeServer::send(Socket &socket, Response response)
{
    response.prepare_payload();
    const auto [ec, n] = co_await Http::async_write(socket, response, Asio::as_tuple(Asio::use_awaitable));
    co_return !ec;
}

FakeServer::Response FakeServer::jsonResponse(unsigned status, std::string body)
{
    Response response(Http::status::ok, 11);
    response.result(status);
    response.set(Http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

bool FakeServer::peerClosed(Socket &socket)
{
    return socketState(socket) == SocketState::Closed;
}

} // namespace Guavalock

#include "Net/Connection.h"

#include "Net/SocketState.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

/// The kernel closes a connection whose data is not acknowledged within this time. A failed link is not
/// detected in any other way.
constexpr std::chrono::milliseconds tcpUserTimeout{3'000};

void setTcpUserTimeout(Asio::ip::tcp::socket &socket)
{
    const auto limit = static_cast<unsigned>(tcpUserTimeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

} // namespace

Connection::Connection(const Asio::any_io_executor &executor, Endpoint endpoint)
    : m_endpoint(std::move(endpoint))
    , m_socket(executor)
{
}

Asio::awaitable<bool> Connection::connect()
{
    const Asio::ip::tcp::endpoint remote(Asio::ip::make_address(m_endpoint.address), m_endpoint.port);
    const auto [ec] = co_await m_socket.async_connect(remote, Asio::as_tuple(Asio::use_awaitable));
    if (ec) {
        co_return false;
    }
    boost::system::error_code ignored;
    m_socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
    setTcpUserTimeout(m_socket);
    co_return true;
}

bool Connection::reusable()
{
    return m_socket.is_open() && m_buffer.size() == 0 && socketState(m_socket) == SocketState::Idle;
}

void Connection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

const Endpoint &Connection::endpoint() const
{
    return m_endpoint;
}

Asio::ip::tcp::socket &Connection::socket()
{
    return m_socket;
}

ReadBuffer &Connection::buffer()
{
    return m_buffer;
}

} // namespace Guavalock

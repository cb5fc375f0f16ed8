#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace Guavalock
{

/// An outgoing TCP connection, used by one call at a time.
class Connection
{
public:
    Connection(const boost::asio::any_io_executor &executor, Endpoint endpoint);

    /// Connects. Returns false if the connection is refused, or closed before it is established.
    boost::asio::awaitable<bool> connect();

    /// Returns whether the connection is open and has no unread data, which the next call would mistake for its own response.
    bool reusable();

    void close();

    const Endpoint &endpoint() const;
    boost::asio::ip::tcp::socket &socket();
    boost::beast::flat_buffer &buffer();

private:
    Endpoint m_endpoint;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

} // namespace Guavalock

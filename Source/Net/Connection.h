#pragma once

#include "Net/ReadBuffer.h"
#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

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
    ReadBuffer &buffer();

private:
    Endpoint m_endpoint;
    boost::asio::ip::tcp::socket m_socket;
    ReadBuffer m_buffer;
};

} // namespace Guavalock

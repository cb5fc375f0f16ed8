#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Guavalock
{

/// Read state of a connected socket.
enum class SocketState {
    Idle, ///< Open, with no data to read.
    Readable, ///< Data is available.
    Closed, ///< The peer closed or reset the connection.
};

/// Returns the state of a socket without blocking or consuming data.
SocketState socketState(boost::asio::ip::tcp::socket &socket);

} // namespace Guavalock

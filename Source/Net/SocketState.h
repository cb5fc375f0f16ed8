#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Guavalock
{

/// What waits at a connected socket.
enum class SocketState {
    Quiet, ///< Nothing to read.
    Readable,
    Closed, ///< The other end has closed or reset the connection.
};

/// Looks at a socket without reading from it or waiting.
SocketState socketState(boost::asio::ip::tcp::socket &socket);

} // namespace Guavalock

#include "Net/SocketState.h"

#include <sys/socket.h>

#include <cerrno>

namespace Guavalock
{

SocketState socketState(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        return SocketState::Readable;
    }
    const bool empty = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return empty ? SocketState::Idle : SocketState::Closed;
}

} // namespace Guavalock

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace Guavalock
{

/// Calls a handler on the socket's executor when the peer closes a connection from which nothing is read in the meantime.
///
/// Ends when it is destroyed; that cancels all pending operations of the socket.
class DisconnectWatch
{
public:
    using Handler = std::function<void()>;

    DisconnectWatch(boost::asio::ip::tcp::socket &socket, Handler onClosed);
    ~DisconnectWatch();

    DisconnectWatch(const DisconnectWatch &) = delete;
    DisconnectWatch &operator=(const DisconnectWatch &) = delete;

private:
    /// Shared with the wait in progress, whose completion may run after the watch has ended.
    struct State {
        boost::asio::ip::tcp::socket &socket;
        Handler onClosed;
        bool active = true;
    };

    static void wait(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace Guavalock

#pragma once

#include "Net/Acceptor.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace Guavalock
{

/// A loopback TCP proxy that forwards connections from one port to another and injects network faults.
class SoakProxy
{
public:
    enum class Mode {
        Pass,
        Delay, ///< Forwards data with a delay.
        Stall, ///< Holds data back in both directions; connections stay open.
        StallResponses, ///< Holds responses back.
        Reset, ///< Resets connections.
    };

    SoakProxy(boost::asio::any_io_executor executor, const Endpoint &from, const Endpoint &to);

    void start();

    /// Thread-safe.
    void setMode(Mode mode);

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> serve(Acceptor::Socket socket);
    boost::asio::awaitable<void> forward(Socket from, Socket to, bool isResponse);

    boost::asio::any_io_executor m_executor;
    Endpoint m_to;
    Acceptor m_acceptor;
    std::atomic<Mode> m_mode{Mode::Pass};
};

} // namespace Guavalock

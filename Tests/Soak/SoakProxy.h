#pragma once

#include "Net/Acceptor.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace Guavalock
{

/// A link on loopback that can be disturbed: everything sent to one port goes to another, as the mode says.
class SoakProxy
{
public:
    enum class Mode {
        Pass,
        Delay, ///< Bytes arrive late.
        Silent, ///< Nothing passes; connections stay open.
        OneWay, ///< Answers do not pass.
        Reset, ///< Connections break.
    };

    SoakProxy(boost::asio::any_io_executor executor, const Endpoint &from, const Endpoint &to);

    void start();

    /// Callable from any thread.
    void setMode(Mode mode);

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> serve(Acceptor::Socket socket);
    boost::asio::awaitable<void> pump(Socket from, Socket to, bool answers);

    boost::asio::any_io_executor m_executor;
    Endpoint m_to;
    Acceptor m_acceptor;
    std::atomic<Mode> m_mode{Mode::Pass};
};

} // namespace Guavalock

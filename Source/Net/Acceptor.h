#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <functional>

namespace Guavalock
{

/// Accepts TCP connections on one address. Each connection has its own strand.
class Acceptor
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Receives a new connection, whose executor is its strand.
    using Handler = std::function<void(Socket)>;

    Acceptor(boost::asio::any_io_executor executor, Endpoint endpoint, Handler handler);

    /// Starts listening and accepting. Throws boost::system::system_error if the address cannot be bound.
    void start();

    /// As above, but returns the error. The call may be repeated then.
    boost::system::error_code tryStart();

    /// Stops accepting. Callable from any thread.
    void stop();

private:
    boost::asio::awaitable<void> accept();

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand;
    Endpoint m_endpoint;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace Guavalock

#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace Guavalock
{

/// Accepts TCP connections on one address. Each gets a strand of its own.
class Acceptor
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Takes a new connection, whose executor is its strand.
    using Handler = std::function<void(Socket)>;

    Acceptor(boost::asio::any_io_executor executor, Endpoint endpoint, Handler handler);

    /// Listens and starts to accept. Throws boost::system::system_error when the address cannot be had.
    void start();

    /// Accepts no more. Callable from any thread.
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

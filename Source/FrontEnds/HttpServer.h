#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>

namespace Guavalock
{

class Counter;
class HttpHandler;
struct Services;

/// Accepts HTTP connections on one address and runs a session for each.
class HttpServer
{
public:
    HttpServer(const Services &services, Endpoint endpoint, HttpHandler &handler);

    /// Listens and starts to accept. Throws boost::system::system_error when the address cannot be had.
    void start();

    /// Asks callers to come back elsewhere: from now on each answer closes its connection.
    void closeAfterAnswers();

    void stopAccepting();

    std::size_t connections() const;

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    const Services &m_services;
    Endpoint m_endpoint;
    HttpHandler &m_handler;
    boost::asio::any_io_executor m_strand;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_connections{0};
    std::atomic<bool> m_closing{false};
    Counter &m_refused;
};

} // namespace Guavalock

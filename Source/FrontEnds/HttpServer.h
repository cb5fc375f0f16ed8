#pragma once

#include "Net/Acceptor.h"

#include <boost/asio/awaitable.hpp>

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
    HttpServer(const Services &services, const Endpoint &endpoint, HttpHandler &handler);

    /// Listens and starts to accept. Throws boost::system::system_error when the address cannot be had.
    void start();

    /// Asks callers to come back elsewhere: from now on each answer closes its connection.
    void closeAfterAnswers();

    void stopAccepting();

    std::size_t connections() const;

private:
    void accepted(Acceptor::Socket socket);
    boost::asio::awaitable<void> serve(Acceptor::Socket socket);

    const Services &m_services;
    HttpHandler &m_handler;
    Acceptor m_acceptor;
    std::atomic<std::size_t> m_connections{0};
    std::atomic<bool> m_closing{false};
    Counter &m_refused;
};

} // namespace Guavalock

#pragma once

#include "Net/Acceptor.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstddef>

namespace Guavalock
{

class Counter;
class HttpHandler;
struct DaemonContext;

/// Accepts HTTP connections on one address and runs a session for each.
class HttpServer
{
public:
    HttpServer(const DaemonContext &context, const Endpoint &endpoint, HttpHandler &handler);

    /// Starts listening and accepting. Throws boost::system::system_error if the address cannot be bound.
    void start();

    /// Closes each connection after its next response, so that clients reconnect to another daemon.
    void closeAfterResponses();

    void stopAccepting();

    std::size_t connections() const;

private:
    void handleConnection(Acceptor::Socket socket);
    boost::asio::awaitable<void> serve(Acceptor::Socket socket);

    const DaemonContext &m_context;
    HttpHandler &m_handler;
    Acceptor m_acceptor;
    std::atomic<std::size_t> m_connections{0};
    std::atomic<bool> m_closeAfterResponses{false};
    Counter &m_refused;
};

} // namespace Guavalock

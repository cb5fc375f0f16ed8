#pragma once

#include "Net/Acceptor.h"
#include "Relay/RelayParts.h"
#include "Relay/RelaySession.h"

#include <boost/asio/any_io_executor.hpp>

namespace Guavalock
{

/// Accepts callers' connections on one address and runs a session for each.
class RelayFrontEnd
{
public:
    RelayFrontEnd(const RelayParts &parts, boost::asio::any_io_executor executor, const Endpoint &endpoint);

    /// Listens. Throws boost::system::system_error when the address cannot be had.
    void start();

    /// From now on each answer closes its connection.
    void startDraining();

    /// Takes no more connections and refuses requests on those that are open.
    void close();

    /// Returns how many requests are in progress.
    std::size_t requests() const;

private:
    boost::asio::awaitable<void> serve(Acceptor::Socket socket);

    const RelayParts &m_parts;
    RelaySession::Gate m_gate;
    Acceptor m_acceptor;
};

} // namespace Guavalock

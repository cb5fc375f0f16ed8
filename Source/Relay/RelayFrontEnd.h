#pragma once

#include "Net/Acceptor.h"
#include "Relay/RelayContext.h"
#include "Relay/RelaySession.h"

#include <boost/asio/any_io_executor.hpp>

namespace Guavalock
{

/// Accepts client connections on one address and runs a session for each.
class RelayFrontEnd
{
public:
    RelayFrontEnd(const RelayContext &context, boost::asio::any_io_executor executor, const Endpoint &endpoint);

    /// Starts listening. Throws boost::system::system_error if the address cannot be bound.
    void start();

    /// Closes each connection after the next response that can announce it.
    void startDraining();

    /// Stops accepting connections and refuses new requests on open ones.
    void close();

    /// Returns the number of requests in progress.
    std::size_t requestsInProgress() const;

private:
    boost::asio::awaitable<void> serve(Acceptor::Socket socket);

    const RelayContext &m_context;
    RelaySession::SharedState m_sharedState;
    Acceptor m_acceptor;
};

} // namespace Guavalock

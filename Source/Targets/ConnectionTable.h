#pragma once

#include "Kernel/RankedMutex.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class Connection;
struct Endpoint;

/// Pool of idle connections to targets. Lock rank: Connections.
class ConnectionTable
{
public:
    static constexpr std::size_t maxIdle = 256; ///< Per target.

    explicit ConnectionTable(boost::asio::any_io_executor executor);
    ~ConnectionTable();

    /// Returns an idle connection that has no unread data, or null.
    std::unique_ptr<Connection> takeIdle(const Endpoint &endpoint);

    /// Creates a connection that is not yet connected.
    std::unique_ptr<Connection> create(const Endpoint &endpoint) const;

    /// Returns a connection to the pool. Its last response must have been read completely. Closes the connection if its target already
    /// has `idleLimit` idle connections, or `maxIdle` if that is less.
    void release(std::unique_ptr<Connection> connection, std::size_t idleLimit = maxIdle);

    /// Closes all idle connections to a target.
    void closeIdle(const Endpoint &endpoint);

private:
    using Idle = std::vector<std::unique_ptr<Connection>>;

    boost::asio::any_io_executor m_executor;
    RankedMutex m_mutex{LockRank::Connections};
    std::map<std::string, Idle> m_idle;
};

} // namespace Guavalock

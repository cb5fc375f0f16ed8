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

/// Idle connections to targets, kept for reuse. Rank Connections.
class ConnectionTable
{
public:
    static constexpr std::size_t maxIdle = 256; ///< For each target.

    explicit ConnectionTable(boost::asio::any_io_executor executor);
    ~ConnectionTable();

    /// Returns an idle connection on which nothing waits to be read, or null.
    std::unique_ptr<Connection> takeIdle(const Endpoint &endpoint);

    /// Returns a new connection, not yet connected.
    std::unique_ptr<Connection> create(const Endpoint &endpoint) const;

    /// Keeps a connection whose last answer was read to its end, unless as many as allowed are idle to its target.
    void giveBack(std::unique_ptr<Connection> connection, std::size_t mostIdle = maxIdle);

    /// Closes every idle connection to a target.
    void drop(const Endpoint &endpoint);

private:
    using Idle = std::vector<std::unique_ptr<Connection>>;

    boost::asio::any_io_executor m_executor;
    RankedMutex m_mutex{LockRank::Connections};
    std::map<std::string, Idle> m_idle;
};

} // namespace Guavalock

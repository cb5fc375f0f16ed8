#include "Targets/ConnectionTable.h"

#include "Net/Connection.h"
#include "Settings/Endpoint.h"

#include <algorithm>

namespace Guavalock
{

ConnectionTable::ConnectionTable(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

ConnectionTable::~ConnectionTable() = default;

std::unique_ptr<Connection> ConnectionTable::takeIdle(const Endpoint &endpoint)
{
    const std::string key = endpoint.text();
    Idle unusable; // Declared before the lock, so that the connections are closed after it is released.
    const std::scoped_lock lock(m_mutex);
    Idle &idle = m_idle[key];
    while (!idle.empty()) {
        std::unique_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->reusable()) {
            return connection;
        }
        unusable.push_back(std::move(connection));
    }
    return nullptr;
}

std::unique_ptr<Connection> ConnectionTable::create(const Endpoint &endpoint) const
{
    return std::make_unique<Connection>(m_executor, endpoint);
}

void ConnectionTable::release(std::unique_ptr<Connection> connection, std::size_t idleLimit)
{
    const std::string key = connection->endpoint().text();
    const std::scoped_lock lock(m_mutex);
    Idle &idle = m_idle[key];
    if (idle.size() < std::min(idleLimit, maxIdle)) {
        idle.push_back(std::move(connection));
    }
}

void ConnectionTable::closeIdle(const Endpoint &endpoint)
{
    Idle dropped; // Declared before the lock, so that the connections are closed after it is released.
    const std::scoped_lock lock(m_mutex);
    const auto it = m_idle.find(endpoint.text());
    if (it != m_idle.end()) {
        dropped = std::move(it->second);
        m_idle.erase(it);
    }
}

} // namespace Guavalock

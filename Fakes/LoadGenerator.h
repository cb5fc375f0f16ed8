#pragma once

#include "LoadPlan.h"
#include "LoadStatistics.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace Guavalock
{

/// Sends requests to daemons as callers behind a load balancer do, and verifies every response.
class LoadGenerator
{
public:
    LoadGenerator(boost::asio::any_io_executor executor, LoadPlan plan);
    ~LoadGenerator();

    /// Sends all requests of the plan and blocks until they have ended. Must not be called on the executor's threads.
    void run();

    LoadStatistics &tally();

private:
    class ClientSession;

    boost::asio::awaitable<void> runSession(std::size_t number);
    boost::asio::awaitable<void> pollHealth();
    std::size_t nextHealthyDaemon(std::size_t from) const;

    boost::asio::any_io_executor m_executor;
    LoadPlan m_plan;
    LoadStatistics m_tally;
    std::atomic<std::size_t> m_nextRequest{0};
    std::atomic<std::size_t> m_activeSessions{0};
    std::vector<std::unique_ptr<std::atomic<bool>>> m_healthy;
};

} // namespace Guavalock

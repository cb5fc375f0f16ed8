#pragma once

#include "LoadPlan.h"
#include "LoadTally.h"

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

/// Sends requests to daemons as callers behind a balancer do, and checks every answer.
class LoadDriver
{
public:
    LoadDriver(boost::asio::any_io_executor executor, LoadPlan plan);
    ~LoadDriver();

    /// Sends the whole plan and returns when every request has ended. Not to be called on the executor's threads.
    void run();

    LoadTally &tally();

private:
    class Caller;

    boost::asio::awaitable<void> work(std::size_t number);
    boost::asio::awaitable<void> watchHealth();
    std::size_t nextDaemon(std::size_t from) const;

    boost::asio::any_io_executor m_executor;
    LoadPlan m_plan;
    LoadTally m_tally;
    std::atomic<std::size_t> m_next{0};
    std::atomic<std::size_t> m_working{0};
    std::vector<std::unique_ptr<std::atomic<bool>>> m_healthy;
};

} // namespace Guavalock

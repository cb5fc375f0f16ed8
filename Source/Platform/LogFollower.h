#pragma once

#include "Decisions/Backoff.h"
#include "Platform/PlatformLog.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Guavalock
{

class Counter;
struct Services;

/// Reads one stream of the log from its oldest kept record on, for as long as the daemon runs.
class LogFollower
{
public:
    /// Called with each batch, in order, on the follower's strand. An empty batch says that nothing newer is there.
    using Handler = std::function<void(const PlatformLog::Batch &)>;

    LogFollower(const Services &services, std::string stream, Handler handler);
    ~LogFollower();

    /// Starts following from an offset.
    void start(std::uint64_t from);

    /// Returns how long ago the end of the stream was last read.
    Clock::Duration age(Clock::TimePoint now) const;

private:
    boost::asio::awaitable<void> follow();
    void took(const PlatformLog::Batch &batch);

    const Services &m_services;
    boost::asio::any_io_executor m_strand;
    std::unique_ptr<PlatformLog> m_log;
    std::string m_stream;
    Handler m_handler;
    std::uint64_t m_next = 0;
    bool m_reachable = true;
    Backoff m_backoff;
    RandomEngine m_random;
    Counter &m_failures;
    std::atomic<Clock::Duration::rep> m_lastRead{0};
};

} // namespace Guavalock

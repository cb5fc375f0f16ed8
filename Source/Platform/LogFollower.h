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
struct DaemonContext;

/// Continuously reads one stream of the log, starting from an offset.
class LogFollower
{
public:
    /// Called with each batch, in order, on the follower's strand. An empty batch means that there are no newer records.
    using Handler = std::function<void(const PlatformLog::Batch &)>;

    LogFollower(const DaemonContext &context, std::string stream, Handler handler);
    ~LogFollower();

    /// Starts reading at an offset. If older records have been truncated, reading starts at the oldest retained record.
    void start(std::uint64_t from);

    /// Returns the time since the last successful read of the stream.
    Clock::Duration age(Clock::TimePoint now) const;

private:
    boost::asio::awaitable<void> follow();
    void processBatch(const PlatformLog::Batch &batch);

    const DaemonContext &m_context;
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

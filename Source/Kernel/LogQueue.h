#pragma once

#include "Kernel/Counter.h"
#include "Kernel/RankedMutex.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <string>
#include <thread>

namespace Guavalock
{

/// Asynchronous line writer: a dedicated thread writes queued lines to a file descriptor, so that logging threads never block on
/// the reader.
///
/// The queue is bounded. Lines that do not fit are dropped, and their number is logged once there is room again. Lock rank: Events.
class LogQueue
{
public:
    static constexpr std::size_t maxBytes = 256 * 1024; ///< About 1000 lines, which is several seconds of output of a busy daemon.

    explicit LogQueue(int descriptor);

    /// Flushes the queue. Drops the remaining lines if the reader does not accept data within the poll timeout.
    ~LogQueue();

    LogQueue(const LogQueue &) = delete;
    LogQueue &operator=(const LogQueue &) = delete;

    /// Queues a line, which includes its newline. Never blocks on the reader.
    void push(const std::string &line);

    /// Returns the total number of dropped lines.
    std::uint64_t dropped() const;

private:
    void run();
    /// Writes all of the text. Returns early on a write error, or when the queue is shutting down and the reader has stalled.
    void write(const std::string &text) const;
    bool waitWritable(std::chrono::milliseconds timeout) const;

    int m_descriptor;
    RankedMutex m_mutex{LockRank::Events};
    std::condition_variable_any m_notEmpty;
    std::string m_queued;
    std::uint64_t m_unreportedDrops = 0;
    std::atomic<bool> m_stopped{false};
    Counter m_dropped;
    std::thread m_thread;
};

} // namespace Guavalock

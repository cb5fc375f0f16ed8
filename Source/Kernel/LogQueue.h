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

/// Lines on their way to a file descriptor, written by a thread of its own so that nobody who logs waits for the reader.
///
/// Holds a bounded number of bytes; lines beyond that are dropped, and their number is written once there is room again.
/// Rank Events.
class LogQueue
{
public:
    static constexpr std::size_t maxBytes = 256 * 1024; ///< About a thousand lines; seconds of a busy daemon.

    explicit LogQueue(int descriptor);

    /// Writes what is queued, unless the reader does not take it within a moment.
    ~LogQueue();

    LogQueue(const LogQueue &) = delete;
    LogQueue &operator=(const LogQueue &) = delete;

    /// Queues a line, its end included. Never waits for the reader.
    void push(const std::string &line);

    /// Returns how many lines were dropped so far.
    std::uint64_t dropped() const;

private:
    void run();
    /// Writes as the reader takes it; gives up when the process ends and the reader has stopped.
    void write(const std::string &text) const;
    bool writable(std::chrono::milliseconds wait) const;

    int m_descriptor;
    RankedMutex m_mutex{LockRank::Events};
    std::condition_variable_any m_filled;
    std::string m_queued;
    std::uint64_t m_droppedSince = 0;
    std::atomic<bool> m_stopped{false};
    Counter m_dropped;
    std::thread m_thread;
};

} // namespace Guavalock

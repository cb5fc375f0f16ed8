#include "Kernel/LogQueue.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds batchInterval{200}; ///< Lines queued within this interval are written together.
/// How long one poll waits for the reader. During shutdown, the remaining lines are dropped after one such wait.
constexpr std::chrono::milliseconds pollTimeout{200};

} // namespace

LogQueue::LogQueue(int descriptor)
    : m_descriptor(descriptor)
    , m_thread([this] { run(); })
{
}

LogQueue::~LogQueue()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopped = true;
    }
    m_notEmpty.notify_one();
    m_thread.join();
}

void LogQueue::push(const std::string &line)
{
    const std::scoped_lock lock(m_mutex);
    if (m_queued.size() + line.size() > maxBytes) {
        ++m_unreportedDrops;
        m_dropped.add();
        return;
    }
    const bool wasEmpty = m_queued.empty();
    m_queued += line;
    if (wasEmpty) {
        m_notEmpty.notify_one();
    }
}

std::uint64_t LogQueue::dropped() const
{
    return m_dropped.value();
}

bool LogQueue::waitWritable(std::chrono::milliseconds timeout) const
{
    pollfd it{m_descriptor, POLLOUT, 0};
    return ::poll(&it, 1, static_cast<int>(timeout.count())) > 0;
}

void LogQueue::write(const std::string &text) const
{
    std::size_t at = 0;
    while (at < text.size()) {
        if (!waitWritable(pollTimeout)) {
            if (m_stopped) {
                return;
            }
            continue;
        }
        // A pipe that polls as writable accepts up to PIPE_BUF bytes without blocking.
        const ssize_t n = ::write(m_descriptor, text.data() + at, std::min<std::size_t>(text.size() - at, PIPE_BUF));
        if (n < 0 && errno != EINTR) {
            return; // The reader has closed its end, so the lines can no longer be delivered.
        }
        at += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
}

void LogQueue::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_notEmpty.wait(lock, [this] { return m_stopped || !m_queued.empty(); });
        if (!m_stopped) {
            m_notEmpty.wait_for(lock, batchInterval, [this] { return m_stopped.load(); });
        }
        const bool last = m_stopped;
        std::string text = std::exchange(m_queued, {});
        if (m_unreportedDrops > 0) {
            text += "{\"event\":\"log-lines-dropped\",\"count\":" + std::to_string(m_unreportedDrops) + "}\n";
            m_unreportedDrops = 0;
        }
        lock.unlock();
        write(text);
        if (last) {
            return;
        }
        lock.lock();
    }
}

} // namespace Guavalock

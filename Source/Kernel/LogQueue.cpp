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

constexpr std::chrono::milliseconds gatherTime{200}; ///< Lines of this time leave in one write.
constexpr std::chrono::milliseconds readerWait{200}; ///< For the reader; when the process ends, the rest is dropped after it.

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
    m_filled.notify_one();
    m_thread.join();
}

void LogQueue::push(const std::string &line)
{
    const std::scoped_lock lock(m_mutex);
    if (m_queued.size() + line.size() > maxBytes) {
        ++m_droppedSince;
        m_dropped.add();
        return;
    }
    const bool wasEmpty = m_queued.empty();
    m_queued += line;
    if (wasEmpty) {
        m_filled.notify_one();
    }
}

std::uint64_t LogQueue::dropped() const
{
    return m_dropped.value();
}

bool LogQueue::writable(std::chrono::milliseconds wait) const
{
    pollfd it{m_descriptor, POLLOUT, 0};
    return ::poll(&it, 1, static_cast<int>(wait.count())) > 0;
}

void LogQueue::write(const std::string &text) const
{
    std::size_t at = 0;
    while (at < text.size()) {
        if (!writable(readerWait)) {
            if (m_stopped) {
                return;
            }
            continue;
        }
        // So much goes into a pipe that is ready without waiting.
        const ssize_t n = ::write(m_descriptor, text.data() + at, std::min<std::size_t>(text.size() - at, PIPE_BUF));
        if (n < 0 && errno != EINTR) {
            return; // The reader is gone; nobody misses the lines.
        }
        at += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
}

void LogQueue::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_filled.wait(lock, [this] { return m_stopped || !m_queued.empty(); });
        if (!m_stopped) {
            m_filled.wait_for(lock, gatherTime, [this] { return m_stopped.load(); });
        }
        const bool last = m_stopped;
        std::string text = std::exchange(m_queued, {});
        if (m_droppedSince > 0) {
            text += "{\"event\":\"log-lines-dropped\",\"count\":" + std::to_string(m_droppedSince) + "}\n";
            m_droppedSince = 0;
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

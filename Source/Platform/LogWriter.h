#pragma once

#include "Decisions/Backoff.h"
#include "Platform/PlatformLog.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

class Counter;
struct DaemonContext;

/// Appends entries to the log in batches. An entry counts as appended only once it has been read back.
///
/// An entry that is not read back within the settling time, for example because the append received no response, is sent again with
/// the same id. Readers use the first record of an id and ignore duplicates. Thread-safe.
class LogWriter
{
public:
    /// Write order of the streams, highest priority first. Matters when the log limits the append rate.
    enum class Priority {
        Keys,
        Configuration,
    };

    explicit LogWriter(const DaemonContext &context);
    ~LogWriter();

    /// Queues an entry. It is dropped if it has not been confirmed by its expiry.
    void append(Priority priority, std::string stream, PlatformLog::Entry entry, Clock::TimePoint expiry);

    /// Reports that an entry has been read back, and removes it from the queue.
    void confirm(const std::string &id);

    /// Removes an entry from the queue. Calls `done`, on any thread, with true if the entry has certainly not been appended.
    void withdraw(std::string id, std::function<void(bool)> done);

private:
    struct PendingEntry {
        std::string stream;
        PlatformLog::Entry entry;
        Clock::TimePoint expiry{};
        Clock::TimePoint notBefore{};
        bool mayBeInLog = false;
    };
    using Queue = std::list<PendingEntry>;

    void startWriting();
    boost::asio::awaitable<void> writeLoop();
    boost::asio::awaitable<void> writeBatch(Queue &queue, Clock::TimePoint now);
    void dropExpired(Clock::TimePoint now);

    const DaemonContext &m_context;
    boost::asio::any_io_executor m_strand;
    std::unique_ptr<PlatformLog> m_log;
    boost::asio::steady_timer m_timer;
    std::map<Priority, Queue> m_queues;
    bool m_writing = false;
    Backoff m_backoff;
    RandomEngine m_random;
    Counter &m_appends;
    Counter &m_failures;
};

} // namespace Guavalock

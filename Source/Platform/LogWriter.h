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
struct Services;

/// Appends entries to the log in batches, and knows an entry's fate only from reading it back.
///
/// An entry whose append got no answer is sent again, with the same id, once the settling time has passed without its being read
/// back. Readers take the first record of an id and pass over any other. All members may be called from any thread.
class LogWriter
{
public:
    /// Streams that are written first when the log limits the rate.
    enum class Priority {
        Keys,
        Configuration,
    };

    explicit LogWriter(const Services &services);
    ~LogWriter();

    /// Queues an entry, which is given up at a time.
    void append(Priority priority, std::string stream, PlatformLog::Entry entry, Clock::TimePoint giveUp);

    /// An entry has been read back.
    void seen(const std::string &id);

    /// Stops trying to append an entry. Calls back, on any thread, with true when it is certain never to have been appended.
    void withdraw(std::string id, std::function<void(bool)> done);

private:
    struct Pending {
        std::string stream;
        PlatformLog::Entry entry;
        Clock::TimePoint giveUp{};
        Clock::TimePoint notBefore{};
        bool mayBeInLog = false;
    };
    using Queue = std::list<Pending>;

    void wake();
    boost::asio::awaitable<void> write();
    boost::asio::awaitable<void> writeBatch(Queue &queue, Clock::TimePoint now);
    void dropLate(Clock::TimePoint now);

    const Services &m_services;
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

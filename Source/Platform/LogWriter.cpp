#include "Platform/LogWriter.h"

#include "Decisions/Hash.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Kernel/Registry.h"
#include "Pipeline/DaemonContext.h"
#include "Settings/ProcessSettings.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::size_t maxBatch = 64;
constexpr std::chrono::milliseconds batchInterval{5}; ///< Limits a daemon to 200 appends per second.
constexpr std::chrono::milliseconds settlingTime{1'500};
constexpr std::chrono::milliseconds initialBackoff{20};
constexpr std::chrono::milliseconds maxBackoff{1'000};

} // namespace

LogWriter::LogWriter(const DaemonContext &context)
    : m_context(context)
    , m_strand(Asio::make_strand(context.executor))
    , m_log(Registry<PlatformLog, Asio::any_io_executor, const Endpoint &>::instance().create(context.settings.platformPlugin, m_strand,
                                                                                              context.settings.platform))
    , m_timer(m_strand)
    , m_backoff(initialBackoff, maxBackoff)
    , m_random(Hash::of(context.incarnation))
    , m_appends(context.metrics.counter("log_appends_total"))
    , m_failures(context.metrics.counter("log_append_failures_total"))
{
}

LogWriter::~LogWriter() = default;

void LogWriter::append(Priority priority, std::string stream, PlatformLog::Entry entry, Clock::TimePoint expiry)
{
    Asio::post(m_strand, [this, priority, pending = PendingEntry{std::move(stream), std::move(entry), expiry, {}, false}]() mutable {
        m_queues[priority].push_back(std::move(pending));
        startWriting();
    });
}

void LogWriter::confirm(const std::string &id)
{
    Asio::post(m_strand, [this, id] {
        for (auto &[priority, queue] : m_queues) {
            queue.remove_if([&](const PendingEntry &it) { return it.entry.id == id; });
        }
    });
}

void LogWriter::withdraw(std::string id, std::function<void(bool)> done)
{
    Asio::post(m_strand, [this, id = std::move(id), done = std::move(done)] {
        bool neverAppended = false;
        for (auto &[priority, queue] : m_queues) {
            const auto it
                = std::ranges::find(queue, id, [](const PendingEntry &pending) -> const std::string & { return pending.entry.id; });
            if (it != queue.end()) {
                neverAppended = !it->mayBeInLog;
                queue.erase(it);
            }
        }
        done(neverAppended);
    });
}

void LogWriter::startWriting()
{
    if (m_writing) {
        return;
    }
    m_writing = true;
    Asio::co_spawn(m_strand, writeLoop(), Asio::detached);
}

Asio::awaitable<void> LogWriter::writeLoop()
{
    const auto empty = [this] {
        return std::ranges::all_of(m_queues, [](const auto &it) { return it.second.empty(); });
    };
    while (!empty()) {
        const Clock::TimePoint now = m_context.clock.now();
        dropExpired(now);
        for (auto &[priority, queue] : m_queues) {
            co_await writeBatch(queue, now);
        }
        m_timer.expires_after(batchInterval);
        co_await m_timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    m_writing = false;
}

void LogWriter::dropExpired(Clock::TimePoint now)
{
    for (auto &[priority, queue] : m_queues) {
        queue.remove_if([now](const PendingEntry &it) { return it.expiry <= now; });
    }
}

Asio::awaitable<void> LogWriter::writeBatch(Queue &queue, Clock::TimePoint now)
{
    std::vector<PlatformLog::Entry> entries;
    std::map<std::string, bool> sentBefore;
    std::string stream;
    for (PendingEntry &it : queue) {
        const bool fits = entries.size() < maxBatch && (stream.empty() || it.stream == stream);
        if (fits && it.notBefore <= now) {
            stream = it.stream;
            entries.push_back(it.entry);
            sentBefore[it.entry.id] = it.mayBeInLog;
            it.mayBeInLog = true;
        }
    }
    if (entries.empty()) {
        co_return;
    }
    m_appends.add();
    const PlatformLog::AppendStatus status = co_await m_log->append(stream, std::move(entries));
    const Clock::TimePoint completed = m_context.clock.now();
    const bool appended = status == PlatformLog::AppendStatus::Appended;
    const bool refused = status == PlatformLog::AppendStatus::Refused;
    Clock::Duration retryDelay = settlingTime;
    if (appended) {
        m_backoff.reset();
    } else {
        m_failures.add();
    }
    if (refused) {
        retryDelay = m_backoff.next(m_random);
    }
    // The queue may have changed during the append, so the entries are looked up again by id.
    for (PendingEntry &it : queue) {
        const auto before = sentBefore.find(it.entry.id);
        if (before != sentBefore.end()) {
            it.notBefore = completed + retryDelay;
            it.mayBeInLog = before->second || !refused;
        }
    }
}

} // namespace Guavalock

#include "Platform/LogFollower.h"

#include "Decisions/Hash.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Kernel/Registry.h"
#include "Pipeline/DaemonContext.h"
#include "Settings/ProcessSettings.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds longPollTimeout{1'000};
constexpr std::chrono::milliseconds initialBackoff{50};
constexpr std::chrono::milliseconds maxBackoff{2'000};

} // namespace

LogFollower::LogFollower(const DaemonContext &context, std::string stream, Handler handler)
    : m_context(context)
    , m_strand(Asio::make_strand(context.executor))
    , m_log(Registry<PlatformLog, Asio::any_io_executor, const Endpoint &>::instance().create(context.settings.platformPlugin, m_strand,
                                                                                              context.settings.platform))
    , m_stream(std::move(stream))
    , m_handler(std::move(handler))
    , m_backoff(initialBackoff, maxBackoff)
    , m_random(Hash::of(context.incarnation + m_stream))
    , m_failures(context.metrics.counter("log_read_failures_total{stream=\"" + m_stream + "\"}"))
{
}

LogFollower::~LogFollower() = default;

void LogFollower::start(std::uint64_t from)
{
    m_next = from;
    Asio::co_spawn(m_strand, follow(), Asio::detached);
}

Asio::awaitable<void> LogFollower::follow()
{
    Asio::steady_timer timer(m_strand);
    for (;;) {
        const std::optional<PlatformLog::Batch> batch = co_await m_log->read(m_stream, m_next, longPollTimeout);
        if (batch) {
            processBatch(*batch);
            continue;
        }
        m_failures.add();
        if (m_reachable) {
            m_reachable = false;
            Log::warning("platform", "log-unreachable", {{"stream", m_stream}, {"next", std::to_string(m_next)}});
        }
        timer.expires_after(m_backoff.next(m_random));
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

void LogFollower::processBatch(const PlatformLog::Batch &batch)
{
    if (!m_reachable) {
        m_reachable = true;
        Log::info("platform", "log-reachable", {{"stream", m_stream}, {"next", std::to_string(batch.next)}});
    }
    if (batch.oldest > m_next) {
        Log::warning("platform", "log-truncated",
                     {{"stream", m_stream}, {"wanted", std::to_string(m_next)}, {"oldest", std::to_string(batch.oldest)}});
    }
    m_backoff.reset();
    m_next = batch.next;
    m_lastRead.store(m_context.clock.now().time_since_epoch().count());
    m_handler(batch);
}

Clock::Duration LogFollower::age(Clock::TimePoint now) const
{
    return now.time_since_epoch() - Clock::Duration(m_lastRead.load());
}

} // namespace Guavalock

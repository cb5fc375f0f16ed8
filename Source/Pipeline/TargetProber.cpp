#include "Pipeline/TargetProber.h"

#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Pipeline/DaemonContext.h"
#include "Targets/TargetProbe.h"

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

constexpr std::chrono::milliseconds pollInterval{50};
constexpr std::chrono::milliseconds maxReportAge{2'000};
constexpr double probesPerSecond = 4.0;
constexpr std::size_t probeBurst = 64;

} // namespace

TargetProber::TargetProber(const DaemonContext &context)
    : m_context(context)
    , m_strand(Asio::make_strand(context.executor))
    , m_plan(probesPerSecond, probeBurst)
{
}

void TargetProber::start()
{
    Asio::co_spawn(m_strand, run(), Asio::detached);
}

Asio::awaitable<void> TargetProber::run()
{
    Asio::steady_timer timer(m_strand);
    for (;;) {
        const Clock::TimePoint now = m_context.clock.now();
        std::vector<TargetTable::Probe> due = m_context.targets.dueProbes(now, maxReportAge);
        std::erase_if(due, [this](const TargetTable::Probe &it) { return m_inProgress.contains(it.target); });
        due.resize(m_plan.take(due.size(), now));
        for (TargetTable::Probe &it : due) {
            m_inProgress.insert(it.target);
            Asio::co_spawn(m_strand, probeTarget(std::move(it)), Asio::detached);
        }
        m_context.targets.dispatchWaiting(now);
        timer.expires_after(pollInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

Asio::awaitable<void> TargetProber::probeTarget(TargetTable::Probe probe)
{
    m_context.metrics.counter("target_probes_total").add();
    const std::optional<LoadReport> report = co_await TargetProbe::query(m_strand, probe.address);
    m_inProgress.erase(probe.target);
    const Clock::TimePoint now = m_context.clock.now();
    if (!report) {
        m_context.metrics.counter("target_probe_failures_total").add();
        m_context.targets.probeFailed(probe.pool, probe.target, now);
        co_return;
    }
    if (m_context.targets.applyReport(probe.pool, probe.target, *report, now)) {
        Log::info("targets", "target-state",
                  {{"target", probe.target}, {"state", report->warm ? "warm" : "cold"}, {"incarnation", report->incarnation}});
    }
}

} // namespace Guavalock

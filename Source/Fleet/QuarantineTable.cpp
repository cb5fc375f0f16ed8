#include "Fleet/QuarantineTable.h"

#include "Decisions/Hash.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"

namespace Guavalock
{

QuarantineTable::QuarantineTable(CrashLedger::IsTrialDaemon isTrialDaemon, Metrics &metrics)
    : m_metrics(metrics)
    , m_ledger(CrashLedger::Limits(), std::move(isTrialDaemon))
{
}

void QuarantineTable::onNews(std::function<void()> handler)
{
    m_onNews = std::move(handler);
}

void QuarantineTable::notify(bool hasNews) const
{
    if (hasNews && m_onNews) {
        m_onNews();
    }
}

void QuarantineTable::recordCrash(const CrashReport &crash, Clock::TimePoint now)
{
    m_metrics.counter("target_crashes_total").add();
    Log::warning("fleet", "target-crashed", {{"address", crash.address}, {"contents", std::to_string(crash.contents.size())}});
    bool hasNews = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_ledger.recordCrash(crash, now);
        reportChanges(now);
        hasNews = m_ledger.hasNews();
    }
    notify(hasNews);
}

void QuarantineTable::recordResponse(const std::vector<std::uint64_t> &contents, Clock::TimePoint now)
{
    bool hasNews = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_ledger.recordResponse(contents, now);
        reportChanges(now);
        hasNews = m_ledger.hasNews();
    }
    notify(hasNews);
}

ContentEvidence QuarantineTable::merge(const ContentEvidence &evidence, Clock::TimePoint now)
{
    ContentEvidence news;
    bool hasNews = false;
    {
        const std::scoped_lock lock(m_mutex);
        news = m_ledger.merge(evidence, now);
        reportChanges(now);
        hasNews = m_ledger.hasNews();
    }
    notify(hasNews);
    return news;
}

std::optional<Clock::Duration> QuarantineTable::refuseNew(const std::vector<std::uint64_t> &contents, Clock::TimePoint now)
{
    std::optional<Clock::Duration> refusal;
    bool hasNews = false;
    {
        const std::scoped_lock lock(m_mutex);
        refusal = m_ledger.refuseNew(contents, now);
        reportChanges(now);
        hasNews = m_ledger.hasNews();
    }
    notify(hasNews);
    return refusal;
}

std::optional<Clock::Duration> QuarantineTable::refuseSend(const std::vector<std::uint64_t> &contents, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    return m_ledger.refuseSend(contents, now);
}

bool QuarantineTable::refusesRepeats(const std::vector<std::uint64_t> &contents)
{
    const std::scoped_lock lock(m_mutex);
    return m_ledger.refusesRepeats(contents);
}

ContentEvidence QuarantineTable::takeNews()
{
    const std::scoped_lock lock(m_mutex);
    return m_ledger.takeNews();
}

ContentEvidence QuarantineTable::snapshot(Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    return m_ledger.snapshot(now);
}

void QuarantineTable::reportChanges(Clock::TimePoint now)
{
    if (m_ledger.quarantineVersion() == m_reportedVersion) {
        return;
    }
    m_reportedVersion = m_ledger.quarantineVersion();
    std::map<std::uint64_t, unsigned> current;
    for (const ContentEvidence::Quarantine &it : m_ledger.quarantines(now)) {
        current[it.content] = it.count;
        if (const auto known = m_reported.find(it.content); known != m_reported.end() && known->second == it.count) {
            continue;
        }
        m_metrics.counter("quarantines_total").add();
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(it.end - now);
        Log::warning("fleet", "content-quarantined",
                     {{"content", Hash::hex(it.content)},
                      {"crashes", std::to_string(m_ledger.crashesWith(it.content))},
                      {"count", std::to_string(it.count)},
                      {"left_ms", std::to_string(left.count())}});
    }
    for (const auto &[content, count] : m_reported) {
        if (!current.contains(content)) {
            Log::info("fleet", "quarantine-ended", {{"content", Hash::hex(content)}, {"count", std::to_string(count)}});
        }
    }
    m_reported = std::move(current);
}

} // namespace Guavalock

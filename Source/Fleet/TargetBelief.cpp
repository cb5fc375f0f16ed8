#include "Fleet/TargetBelief.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::seconds coldWindow{1}; ///< The span over which a cold target's bound is stated.
constexpr std::chrono::milliseconds firstSuspicion{500}; ///< Doubles with every failure in a row; about two round trips of a report.
constexpr std::chrono::milliseconds longestSuspicion{4'000}; ///< After it a target is tried again; engines restart within seconds.
constexpr Seconds loadMemory{0.5}; ///< After this time a load count has lost most of its weight: a few service times.
constexpr double healthWeight = 0.1; ///< Of one attempt in the running share of good attempts: ten attempts back.
constexpr double latencyWeight = 0.1; ///< As healthWeight.
constexpr double tokensAsLoad = 2'000; ///< Prompt tokens that delay others about as much as one running request.

} // namespace

TargetBelief::TargetBelief(TargetRecord record, std::uint64_t offset, Clock::TimePoint now)
    : m_record(std::move(record))
    , m_offset(offset)
    , m_loadTime(now)
    , m_coldUntil(now + m_record.coldRemaining)
    , m_suspectUntil(now)
    , m_sends(coldWindow)
{
}

void TargetBelief::renew(TargetRecord record, std::uint64_t offset, Clock::TimePoint now)
{
    if (record.born != m_record.born) {
        m_health = 1.0;
        m_latency = 0;
        m_failuresInRow = 0;
        m_othersLoad = 0;
    }
    // A record that says "warm" may be older than the failure that made the target count as cold, so it does not shorten the wait.
    m_coldUntil = std::max(m_coldUntil, now + record.coldRemaining);
    m_record = std::move(record);
    m_offset = offset;
    m_missingUntil = {};
}

void TargetBelief::sent(std::size_t promptTokens, Clock::TimePoint now)
{
    ++m_outstanding;
    m_promptTokens += promptTokens;
    m_sends.add(now);
}

void TargetBelief::began(std::size_t promptTokens)
{
    m_promptTokens -= std::min(m_promptTokens, promptTokens);
}

void TargetBelief::noteHealth(bool good)
{
    m_health += healthWeight * ((good ? 1.0 : 0.0) - m_health);
}

void TargetBelief::ended(const TargetReport &report, Clock::Duration coldTime, Clock::TimePoint now)
{
    const double own = static_cast<double>(m_outstanding);
    m_outstanding -= std::min<std::size_t>(m_outstanding, 1);
    if (report.load) {
        m_othersLoad = std::max(0.0, static_cast<double>(report.load->running + report.load->waiting) - own);
        m_loadTime = now;
    }
    switch (report.end) {
    case TargetReport::End::Answered: {
        noteHealth(true);
        m_failuresInRow = 0;
        const double latency = Seconds(report.latency).count();
        m_latency = m_latency == 0 ? latency : m_latency + latencyWeight * (latency - m_latency);
        return;
    }
    case TargetReport::End::Refused:
    case TargetReport::End::Cancelled:
        return;
    case TargetReport::End::Unreachable:
    case TargetReport::End::Moved:
    case TargetReport::End::Broken:
        doubt(coldTime, now);
        break;
    case TargetReport::End::Failed:
    case TargetReport::End::Late:
        break;
    }
    noteHealth(false);
    if (report.end == TargetReport::End::Failed) {
        return;
    }
    const auto pause = firstSuspicion * (1U << std::min(m_failuresInRow, 3U));
    m_suspectUntil = now + std::min<Clock::Duration>(pause, longestSuspicion);
    ++m_failuresInRow;
}

void TargetBelief::doubt(Clock::Duration coldTime, Clock::TimePoint now)
{
    m_coldUntil = std::max(m_coldUntil, now + coldTime);
}

bool TargetBelief::cold(Clock::TimePoint now) const
{
    return now < m_coldUntil;
}

void TargetBelief::miss(Clock::TimePoint until)
{
    m_missingUntil = until;
}

bool TargetBelief::missing(Clock::TimePoint now) const
{
    return now < m_missingUntil;
}

bool TargetBelief::suspect(Clock::TimePoint now) const
{
    return now < m_suspectUntil || missing(now);
}

double TargetBelief::load(Clock::TimePoint now) const
{
    const double age = Seconds(now - m_loadTime).count();
    const double others = m_othersLoad * std::exp(-age / loadMemory.count());
    return static_cast<double>(m_outstanding) + others + static_cast<double>(m_promptTokens) / tokensAsLoad;
}

double TargetBelief::health() const
{
    return m_health;
}

std::chrono::microseconds TargetBelief::typicalLatency() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(Seconds(m_latency));
}

std::size_t TargetBelief::sentLately(Clock::TimePoint now)
{
    return m_sends.count(now);
}

const TargetRecord &TargetBelief::record() const
{
    return m_record;
}

std::uint64_t TargetBelief::offset() const
{
    return m_offset;
}

} // namespace Guavalock

#include "Fleet/FleetTarget.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::seconds coldRateWindow{1}; ///< Interval to which the request rate of cold targets refers.
/// About two round trips of a status report. Doubles with every consecutive failure.
constexpr std::chrono::milliseconds initialSuspicionTime{500};
/// Upper bound of the suspicion time: inference engines restart within seconds.
constexpr std::chrono::milliseconds maxSuspicionTime{4'000};
constexpr Seconds loadDecayTime{0.5}; ///< Time constant of the exponential decay of a reported load: a few service times.
constexpr double healthWeight = 0.1; ///< Weight of one attempt in the moving average of successes, which covers about ten attempts.
constexpr double latencyWeight = 0.1; ///< Weight of one attempt in the moving average of latencies.
constexpr double tokensPerLoadUnit = 2'000; ///< Prompt tokens that delay other requests about as much as one running request does.

} // namespace

FleetTarget::FleetTarget(TargetRecord record, RecordPosition position, Clock::TimePoint now)
    : m_record(std::move(record))
    , m_availability(m_record.startTime)
    , m_position(position)
    , m_loadTime(now)
    , m_coldUntil(now + m_record.coldRemaining)
    , m_suspectUntil(now)
    , m_recentRequests(coldRateWindow)
{
}

void FleetTarget::update(TargetRecord record, RecordPosition position, Clock::TimePoint now)
{
    if (record.startTime != m_record.startTime) {
        m_health = 1.0;
        m_latency = 0;
        m_consecutiveFailures = 0;
        m_remoteLoad = 0;
    }
    m_availability.setStartTime(record.startTime);
    // The record may have been written before the failure that made the target count as cold, so a warm record does not shorten that
    // time.
    m_coldUntil = std::max(m_coldUntil, now + record.coldRemaining);
    m_record = std::move(record);
    m_position = position;
    m_missingUntil = {};
}

void FleetTarget::recordRequest(std::size_t promptTokens, Clock::TimePoint now)
{
    ++m_outstanding;
    m_promptTokens += promptTokens;
    m_recentRequests.add(now);
}

void FleetTarget::recordResponseStart(std::size_t promptTokens)
{
    m_promptTokens -= std::min(m_promptTokens, promptTokens);
}

void FleetTarget::recordHealth(bool good)
{
    m_health += healthWeight * ((good ? 1.0 : 0.0) - m_health);
}

void FleetTarget::recordAttempt(const AttemptReport &report, Clock::Duration coldTime, Clock::TimePoint now)
{
    const double own = static_cast<double>(m_outstanding);
    m_outstanding -= std::min<std::size_t>(m_outstanding, 1);
    if (report.load) {
        m_remoteLoad = std::max(0.0, static_cast<double>(report.load->running + report.load->waiting) - own);
        m_loadTime = now;
    }
    switch (report.outcome) {
    case AttemptReport::Outcome::Answered: {
        recordHealth(true);
        m_consecutiveFailures = 0;
        const double latency = Seconds(report.latency).count();
        m_latency = m_latency == 0 ? latency : m_latency + latencyWeight * (latency - m_latency);
        return;
    }
    case AttemptReport::Outcome::Refused:
    case AttemptReport::Outcome::Cancelled:
        return;
    case AttemptReport::Outcome::Unreachable:
    case AttemptReport::Outcome::AddressReused:
    case AttemptReport::Outcome::ConnectionLost:
        markCold(coldTime, now);
        break;
    case AttemptReport::Outcome::Failed:
    case AttemptReport::Outcome::TimedOut:
        break;
    }
    recordHealth(false);
    if (report.outcome == AttemptReport::Outcome::Failed) {
        return;
    }
    const auto pause = initialSuspicionTime * (1U << std::min(m_consecutiveFailures, 3U));
    m_suspectUntil = now + std::min<Clock::Duration>(pause, maxSuspicionTime);
    ++m_consecutiveFailures;
}

void FleetTarget::markCold(Clock::Duration coldTime, Clock::TimePoint now)
{
    m_coldUntil = std::max(m_coldUntil, now + coldTime);
}

bool FleetTarget::isCold(Clock::TimePoint now) const
{
    return now < m_coldUntil;
}

void FleetTarget::markMissing(Clock::TimePoint until)
{
    m_missingUntil = until;
}

bool FleetTarget::isMissing(Clock::TimePoint now) const
{
    return now < m_missingUntil;
}

bool FleetTarget::isSuspect(Clock::TimePoint now) const
{
    return now < m_suspectUntil || isMissing(now);
}

double FleetTarget::load(Clock::TimePoint now) const
{
    const double age = Seconds(now - m_loadTime).count();
    const double others = m_remoteLoad * std::exp(-age / loadDecayTime.count());
    return static_cast<double>(m_outstanding) + others + static_cast<double>(m_promptTokens) / tokensPerLoadUnit;
}

double FleetTarget::health() const
{
    return m_health;
}

std::chrono::microseconds FleetTarget::typicalLatency() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(Seconds(m_latency));
}

std::size_t FleetTarget::recentRequests(Clock::TimePoint now)
{
    return m_recentRequests.count(now);
}

TargetAvailability &FleetTarget::availability()
{
    return m_availability;
}

const TargetAvailability &FleetTarget::availability() const
{
    return m_availability;
}

const TargetRecord &FleetTarget::record() const
{
    return m_record;
}

RecordPosition FleetTarget::position() const
{
    return m_position;
}

} // namespace Guavalock

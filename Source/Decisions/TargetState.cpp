#include "Decisions/TargetState.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds initialAvoidance{200};
constexpr std::chrono::milliseconds maxAvoidance{5'000};
constexpr std::size_t maxDoublings = 5;

/// Time from the first report that a target turned cold until the other daemons have been told and calls in flight have arrived.
constexpr std::chrono::milliseconds settlingTime{100};

Clock::Duration avoidanceTime(std::size_t failures)
{
    if (failures < 2) {
        return Clock::Duration::zero();
    }
    const std::size_t doublings = std::min(failures - 2, maxDoublings);
    const Clock::Duration wait = initialAvoidance * (1U << doublings);
    return std::min<Clock::Duration>(wait, maxAvoidance);
}

constexpr double outcomeWeight = 0.2; ///< Weight of one call in the failure rate.
constexpr double minSuccessRate = 0.1;
constexpr std::chrono::seconds failureHalfLife{2}; ///< Decay of the failure rate over time, so that a target that gets no calls recovers.

bool isFailedCall(StageAttemptOutcome end)
{
    return end == StageAttemptOutcome::Failed || end == StageAttemptOutcome::Invalid || end == StageAttemptOutcome::Lost
        || end == StageAttemptOutcome::TimedOut;
}

bool isConnectionFailure(StageAttemptOutcome end)
{
    return end == StageAttemptOutcome::NotSent || end == StageAttemptOutcome::Lost;
}

} // namespace

void TargetState::setShares(std::size_t coldShare, std::size_t warmShare, std::size_t coldSlots)
{
    m_coldSlots = coldSlots;
    m_coldShare = coldShare;
    m_warmShare = std::max<std::size_t>(1, warmShare);
}

void TargetState::setInService(bool inService)
{
    m_inService = inService;
}

void TargetState::applyReport(const LoadReport &report, Clock::TimePoint now)
{
    const bool restarted = !m_hasReport || report.incarnation != m_report.incarnation;
    const bool wasCold = m_warmth == Warmth::Cold;
    if (restarted || wasCold) {
        m_slowStart.restart(m_coldShare);
    }
    if (m_warmth == Warmth::Warm && !report.warm) {
        m_settledAt = now + settlingTime;
    }
    m_warmth = report.warm ? Warmth::Warm : Warmth::Cold;
    m_report = report;
    m_reportedAt = now;
    m_outstandingAtReport = m_outstanding;
    m_hasReport = true;
    m_consecutiveFailures = 0;
    m_avoidUntil = {};
}

void TargetState::recordDispatch(bool suspect)
{
    ++m_outstanding;
    m_outstandingSuspects += suspect ? 1 : 0;
}

void TargetState::recordEnd(StageAttemptOutcome end, bool suspect, Clock::Duration duration, Clock::TimePoint now)
{
    --m_outstanding;
    m_outstandingSuspects -= suspect ? 1 : 0;
    updateFailureRate(isFailedCall(end), now);
    if (end == StageAttemptOutcome::Answered) {
        m_durations.observe(duration);
        m_consecutiveFailures = 0;
        if (m_warmth == Warmth::Warm) {
            m_slowStart.recordSuccess(m_warmShare);
        }
    } else if (isConnectionFailure(end)) {
        markUnknown(now);
    }
}

double TargetState::failureRate(Clock::TimePoint now) const
{
    const double halfLives = std::chrono::duration<double>(now - m_lastOutcomeAt) / failureHalfLife;
    return m_failureRate * std::exp2(-halfLives);
}

void TargetState::updateFailureRate(bool failed, Clock::TimePoint now)
{
    const double rate = failureRate(now);
    m_failureRate = rate + outcomeWeight * ((failed ? 1.0 : 0.0) - rate);
    m_lastOutcomeAt = now;
}

void TargetState::probeFailed(Clock::TimePoint now)
{
    markUnknown(now);
}

void TargetState::markUnknown(Clock::TimePoint now)
{
    ++m_consecutiveFailures;
    m_warmth = Warmth::Unknown;
    m_avoidUntil = now + avoidanceTime(m_consecutiveFailures);
}

std::size_t TargetState::limit() const
{
    if (m_warmth != Warmth::Warm) {
        return m_coldShare;
    }
    // Slow start needs at least one call to proceed, also on a daemon whose cold share is zero.
    return std::max<std::size_t>(1, m_slowStart.limit(m_warmShare));
}

bool TargetState::usable(Clock::TimePoint now) const
{
    return m_inService && m_warmth != Warmth::Unknown && now >= m_avoidUntil && limit() > 0;
}

bool TargetState::hasCapacity(bool suspect, Clock::TimePoint now) const
{
    const bool separated = !suspect || m_outstandingSuspects == 0;
    return usable(now) && separated && m_outstanding < limit() && hasColdCapacity(now);
}

bool TargetState::potentiallyUsable(Clock::TimePoint now) const
{
    const bool firstReportDue = m_warmth == Warmth::Unknown && m_consecutiveFailures < 2;
    return m_inService && (usable(now) || firstReportDue);
}

bool TargetState::settled(Clock::TimePoint now) const
{
    return now >= m_settledAt && m_reportedAt >= m_settledAt;
}

bool TargetState::hasColdCapacity(Clock::TimePoint now) const
{
    if (m_warmth == Warmth::Warm) {
        return true;
    }
    // Calls that other daemons sent before the target turned cold may still be running there in addition to the cold shares. The
    // report does not identify this daemon's own calls, so all reported calls are counted.
    return settled(now) && m_outstanding + m_report.running + m_report.waiting < m_coldSlots;
}

bool TargetState::probeDue(Clock::TimePoint now, Clock::Duration reportLifetime) const
{
    if (m_warmth == Warmth::Unknown) {
        return now >= m_avoidUntil;
    }
    if (m_warmth == Warmth::Cold && now >= m_settledAt && !settled(now)) {
        return true;
    }
    // The load of a cold target limits its calls, so its reports expire sooner.
    const Clock::Duration lifetime = m_warmth == Warmth::Cold ? reportLifetime / 4 : reportLifetime;
    return now - m_reportedAt >= lifetime;
}

std::size_t TargetState::estimatedLoad() const
{
    const std::size_t otherCalls
        = m_report.running + m_report.waiting > m_outstandingAtReport ? m_report.running + m_report.waiting - m_outstandingAtReport : 0;
    return m_outstanding + otherCalls;
}

Clock::Duration TargetState::predictedDuration(std::size_t slots, Clock::Duration assumed, Clock::TimePoint now) const
{
    const Clock::Duration mean = m_durations.hasSamples() ? m_durations.mean() : assumed;
    const double loadPerSlot = static_cast<double>(estimatedLoad()) / static_cast<double>(std::max<std::size_t>(1, slots));
    const double success = std::max(minSuccessRate, 1.0 - failureRate(now));
    return std::chrono::duration_cast<Clock::Duration>(mean * (1.0 + loadPerSlot) / success);
}

TargetState::Warmth TargetState::warmth() const
{
    return m_warmth;
}

std::size_t TargetState::outstanding() const
{
    return m_outstanding;
}

std::size_t TargetState::warmShare() const
{
    return m_warmShare;
}

bool TargetState::inService() const
{
    return m_inService;
}

const DurationEstimate &TargetState::durations() const
{
    return m_durations;
}

const LoadReport &TargetState::report() const
{
    return m_report;
}

std::string_view TargetState::warmthName() const
{
    static constexpr std::array<std::string_view, 3> names = {"unknown", "cold", "warm"};
    return names[static_cast<std::size_t>(m_warmth)];
}

} // namespace Guavalock

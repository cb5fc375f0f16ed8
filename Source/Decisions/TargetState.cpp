#include "Decisions/TargetState.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds firstAvoidance{200};
constexpr std::chrono::milliseconds longestAvoidance{5'000};
constexpr std::size_t maxDoublings = 5;

/// From the first sign that a target turned cold until its neighbours have heard and calls on their way have arrived.
constexpr std::chrono::milliseconds settlingTime{100};

Clock::Duration avoidance(std::size_t failures)
{
    if (failures < 2) {
        return Clock::Duration::zero();
    }
    const std::size_t doublings = std::min(failures - 2, maxDoublings);
    const Clock::Duration wait = firstAvoidance * (1U << doublings);
    return std::min<Clock::Duration>(wait, longestAvoidance);
}

constexpr double outcomeWeight = 0.2; ///< Of one call in the share of failed calls.
constexpr double leastSuccess = 0.1;
constexpr std::chrono::seconds failureHalfLife{2}; ///< A target that is avoided is forgiven with time.

bool answersNothing(AttemptEnd end)
{
    return end == AttemptEnd::Failed || end == AttemptEnd::Invalid || end == AttemptEnd::Lost || end == AttemptEnd::TimedOut;
}

bool isFailure(AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::Lost;
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

void TargetState::reported(const LoadReport &report, Clock::TimePoint now)
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
    m_failures = 0;
    m_avoidUntil = {};
}

void TargetState::dispatched(bool suspect)
{
    ++m_outstanding;
    m_suspects += suspect ? 1 : 0;
}

void TargetState::ended(AttemptEnd end, bool suspect, Clock::Duration took, Clock::TimePoint now)
{
    --m_outstanding;
    m_suspects -= suspect ? 1 : 0;
    noteOutcome(answersNothing(end), now);
    if (end == AttemptEnd::Answered) {
        m_durations.observe(took);
        m_failures = 0;
        if (m_warmth == Warmth::Warm) {
            m_slowStart.succeeded(m_warmShare);
        }
    } else if (isFailure(end)) {
        becameUnknown(now);
    }
}

double TargetState::failureShare(Clock::TimePoint now) const
{
    const double lives = std::chrono::duration<double>(now - m_lastOutcome) / failureHalfLife;
    return m_failureShare * std::exp2(-lives);
}

void TargetState::noteOutcome(bool failed, Clock::TimePoint now)
{
    const double share = failureShare(now);
    m_failureShare = share + outcomeWeight * ((failed ? 1.0 : 0.0) - share);
    m_lastOutcome = now;
}

void TargetState::probeFailed(Clock::TimePoint now)
{
    becameUnknown(now);
}

void TargetState::becameUnknown(Clock::TimePoint now)
{
    ++m_failures;
    m_warmth = Warmth::Unknown;
    m_avoidUntil = now + avoidance(m_failures);
}

std::size_t TargetState::limit() const
{
    if (m_warmth != Warmth::Warm) {
        return m_coldShare;
    }
    // A daemon without a cold share still needs one call to start the rise once the target is warm.
    return std::max<std::size_t>(1, m_slowStart.limit(m_warmShare));
}

bool TargetState::usable(Clock::TimePoint now) const
{
    return m_inService && m_warmth != Warmth::Unknown && now >= m_avoidUntil && limit() > 0;
}

bool TargetState::hasRoom(bool suspect, Clock::TimePoint now) const
{
    const bool apart = !suspect || m_suspects == 0;
    return usable(now) && apart && m_outstanding < limit() && bearsOneMore(now);
}

bool TargetState::promising(Clock::TimePoint now) const
{
    const bool firstReportDue = m_warmth == Warmth::Unknown && m_failures < 2;
    return m_inService && (usable(now) || firstReportDue);
}

bool TargetState::settled(Clock::TimePoint now) const
{
    return now >= m_settledAt && m_reportedAt >= m_settledAt;
}

bool TargetState::bearsOneMore(Clock::TimePoint now) const
{
    if (m_warmth == Warmth::Warm) {
        return true;
    }
    // Calls that others sent before the target turned cold are still in progress there, beside the shares. Which of the reported
    // calls are this daemon's own is not certain, so all of them count.
    return settled(now) && m_outstanding + m_report.running + m_report.waiting < m_coldSlots;
}

bool TargetState::wantsProbe(Clock::TimePoint now, Clock::Duration reportLife) const
{
    if (m_warmth == Warmth::Unknown) {
        return now >= m_avoidUntil;
    }
    if (m_warmth == Warmth::Cold && now >= m_settledAt && !settled(now)) {
        return true;
    }
    // A cold target's load decides whether it bears one more call, so its reports age faster.
    const Clock::Duration life = m_warmth == Warmth::Cold ? reportLife / 4 : reportLife;
    return now - m_reportedAt >= life;
}

std::size_t TargetState::load() const
{
    const std::size_t others
        = m_report.running + m_report.waiting > m_outstandingAtReport ? m_report.running + m_report.waiting - m_outstandingAtReport : 0;
    return m_outstanding + others;
}

Clock::Duration TargetState::predicted(std::size_t slots, Clock::Duration assumed, Clock::TimePoint now) const
{
    const Clock::Duration mean = m_durations.known() ? m_durations.mean() : assumed;
    const double waves = static_cast<double>(load()) / static_cast<double>(std::max<std::size_t>(1, slots));
    const double success = std::max(leastSuccess, 1.0 - failureShare(now));
    return std::chrono::duration_cast<Clock::Duration>(mean * (1.0 + waves) / success);
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

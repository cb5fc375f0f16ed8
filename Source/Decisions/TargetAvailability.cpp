#include "Decisions/TargetAvailability.h"

#include "Decisions/AvailabilityStatement.h"

#include <algorithm>

namespace Guavalock
{

TargetAvailability::TargetAvailability(std::chrono::milliseconds startTime)
    : m_startTime(startTime)
{
}

void TargetAvailability::setStartTime(std::chrono::milliseconds startTime)
{
    if (startTime > m_startTime) {
        *this = TargetAvailability(startTime);
    }
}

bool TargetAvailability::apply(const AvailabilityStatement &statement, std::chrono::milliseconds startTime, Clock::TimePoint now)
{
    if (startTime != m_startTime || m_leaving) {
        return false;
    }
    m_leaving = statement.leaves;
    const Clock::TimePoint end = now + statement.pause.value_or(std::chrono::milliseconds::zero());
    const bool isLonger = end > std::max(m_pausedUntil, now);
    if (isLonger) {
        m_pausedUntil = end;
    }
    const bool limitChanges = statement.requestLimit.has_value() && m_limit.apply(*statement.requestLimit, statement.requestSentAt, now);
    return m_leaving || isLonger || limitChanges;
}

std::chrono::milliseconds TargetAvailability::startTime() const
{
    return m_startTime;
}

bool TargetAvailability::hasStatements() const
{
    return m_leaving || m_pausedUntil != Clock::TimePoint::min() || m_limit.isLimited();
}

bool TargetAvailability::mergeLimit(double requestsPerSecond, Clock::TimePoint statedAt, std::chrono::milliseconds startTime,
                                    Clock::TimePoint now)
{
    return startTime == m_startTime && m_limit.merge(requestsPerSecond, statedAt, now);
}

RequestLimit &TargetAvailability::limit()
{
    return m_limit;
}

const RequestLimit &TargetAvailability::limit() const
{
    return m_limit;
}

TargetAvailability::State TargetAvailability::state(Clock::TimePoint now) const
{
    if (m_leaving) {
        return State::Leaving;
    }
    return now < m_pausedUntil ? State::Paused : State::Available;
}

std::optional<Clock::Duration> TargetAvailability::remainingPause(Clock::TimePoint now) const
{
    return state(now) == State::Paused ? std::optional(m_pausedUntil - now) : std::nullopt;
}

} // namespace Guavalock

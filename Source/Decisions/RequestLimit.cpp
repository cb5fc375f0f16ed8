#include "Decisions/RequestLimit.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double smallChange = 0.1; ///< Relative to the limit. Far below what the users' rule tolerates.

} // namespace

bool RequestLimit::apply(double requestsPerSecond, Clock::TimePoint requestSentAt, Clock::TimePoint now)
{
    if (requestsPerSecond > m_requestsPerSecond && requestSentAt < m_statedAt) {
        return false;
    }
    const bool changes = requestsPerSecond != m_requestsPerSecond;
    m_statedAt = now;
    setLimit(requestsPerSecond, now);
    return changes;
}

bool RequestLimit::merge(double requestsPerSecond, Clock::TimePoint statedAt, Clock::TimePoint now)
{
    if (statedAt <= m_statedAt || requestsPerSecond == m_requestsPerSecond) {
        return false;
    }
    m_statedAt = statedAt;
    setLimit(requestsPerSecond, now);
    m_told = requestsPerSecond;
    return true;
}

void RequestLimit::setLimit(double requestsPerSecond, Clock::TimePoint now)
{
    m_credit = isLimited() ? creditAt(now) : 0;
    m_creditTime = now;
    m_requestsPerSecond = requestsPerSecond;
    m_wasLimited = m_wasLimited || isLimited();
}

bool RequestLimit::wasLimited() const
{
    return m_wasLimited;
}

bool RequestLimit::takeNews()
{
    const bool isSmall
        = isLimited() && m_told != AvailabilityStatement::unlimited && std::abs(m_requestsPerSecond - m_told) <= smallChange * m_told;
    if (m_requestsPerSecond == m_told || isSmall) {
        return false;
    }
    m_told = m_requestsPerSecond;
    return true;
}

bool RequestLimit::isLimited() const
{
    return m_requestsPerSecond != AvailabilityStatement::unlimited;
}

double RequestLimit::requestsPerSecond() const
{
    return m_requestsPerSecond;
}

Clock::TimePoint RequestLimit::statedAt() const
{
    return m_statedAt;
}

void RequestLimit::setShare(const LimitShare &share, Clock::TimePoint now)
{
    if (share == m_share) {
        return;
    }
    if (isLimited()) {
        m_credit = creditAt(now);
        m_creditTime = now;
    }
    m_share = share;
}

double RequestLimit::ownRequestsPerSecond() const
{
    return m_share.fraction * std::max(m_requestsPerSecond, minRequestsPerSecond);
}

double RequestLimit::creditAt(Clock::TimePoint now) const
{
    return std::min(m_credit + ownRequestsPerSecond() * Seconds(now - m_creditTime).count(), m_share.maxCredit);
}

Clock::Duration RequestLimit::timeUntilAllowed(Clock::TimePoint now) const
{
    if (!isLimited()) {
        return Clock::Duration::zero();
    }
    const double credit = creditAt(now);
    if (credit >= 1) {
        return Clock::Duration::zero();
    }
    const double rate = ownRequestsPerSecond();
    return rate > 0 ? std::chrono::ceil<Clock::Duration>(Seconds((1 - credit) / rate)) : Clock::Duration::max();
}

void RequestLimit::recordRequest(Clock::TimePoint now)
{
    if (isLimited()) {
        m_credit = creditAt(now) - 1;
        m_creditTime = now;
    }
}

} // namespace Guavalock

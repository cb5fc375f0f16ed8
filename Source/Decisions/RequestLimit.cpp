#include "Decisions/RequestLimit.h"

namespace Guavalock
{

bool RequestLimit::apply(double requestsPerSecond, Clock::TimePoint requestSentAt, Clock::TimePoint now)
{
    if (requestsPerSecond > m_requestsPerSecond && requestSentAt < m_statedAt) {
        return false;
    }
    const bool changes = requestsPerSecond != m_requestsPerSecond;
    m_requestsPerSecond = requestsPerSecond;
    m_statedAt = now;
    return changes;
}

double RequestLimit::requestsPerSecond() const
{
    return m_requestsPerSecond;
}

} // namespace Guavalock

#include "Decisions/ProbeRateLimiter.h"

#include <algorithm>

namespace Guavalock
{

ProbeRateLimiter::ProbeRateLimiter(double perSecond, std::size_t burst)
    : m_perSecond(perSecond)
    , m_burst(static_cast<double>(burst))
    , m_tokens(m_burst)
{
}

std::size_t ProbeRateLimiter::take(std::size_t wanted, Clock::TimePoint now)
{
    if (m_updated != Clock::TimePoint{}) {
        const double seconds = std::chrono::duration<double>(now - m_updated).count();
        m_tokens = std::min(m_burst, m_tokens + seconds * m_perSecond);
    }
    m_updated = now;
    const std::size_t taken = std::min(wanted, static_cast<std::size_t>(m_tokens));
    m_tokens -= static_cast<double>(taken);
    return taken;
}

} // namespace Guavalock

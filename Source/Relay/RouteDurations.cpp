#include "Relay/RouteDurations.h"

namespace Guavalock
{

void RouteDurations::observe(const std::string &route, Clock::Duration duration)
{
    const std::scoped_lock lock(m_mutex);
    m_estimates[route].observe(duration);
}

std::optional<Clock::Duration> RouteDurations::upperBound(const std::string &route) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_estimates.find(route);
    return it == m_estimates.end() ? std::nullopt : std::optional<Clock::Duration>(it->second.upperBound());
}

} // namespace Guavalock

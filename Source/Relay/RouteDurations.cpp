#include "Relay/RouteDurations.h"

#include <algorithm>

namespace Guavalock
{

void RouteDurations::begin(const std::string &route, Span span, Clock::TimePoint start)
{
    const std::scoped_lock lock(m_mutex);
    m_routes[route].at(static_cast<std::size_t>(span)).starts.insert(start);
}

void RouteDurations::end(const std::string &route, Span span, Clock::TimePoint start, Clock::TimePoint now, bool complete)
{
    const std::scoped_lock lock(m_mutex);
    Times &times = m_routes[route].at(static_cast<std::size_t>(span));
    if (const auto it = times.starts.find(start); it != times.starts.end()) {
        times.starts.erase(it);
    }
    const bool longest = times.estimate.hasSamples() && now - start > times.estimate.upperBound();
    if (complete || longest) {
        times.estimate.observe(now - start);
    }
}

std::optional<Clock::Duration> RouteDurations::upperBound(const Times &times, Clock::TimePoint now)
{
    if (!times.estimate.hasSamples()) {
        return std::nullopt;
    }
    const Clock::Duration bound = times.estimate.upperBound();
    return times.starts.empty() ? bound : std::max(bound, now - *times.starts.begin());
}

std::optional<Clock::Duration> RouteDurations::upperBound(const std::string &route, Span span, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_routes.find(route);
    return it == m_routes.end() ? std::nullopt : upperBound(it->second.at(static_cast<std::size_t>(span)), now);
}

} // namespace Guavalock

#include "Fleet/FleetRetryBudget.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

/// Portion of the allowance that is distributed. The rest is reserved for daemons not yet known.
constexpr double distributedFraction = 0.5;

} // namespace

FleetRetryBudget::FleetRetryBudget(Limits limits)
    : m_limits(limits)
{
}

void FleetRetryBudget::setLimits(Limits limits)
{
    const std::scoped_lock lock(m_mutex);
    m_limits = limits;
}

void FleetRetryBudget::setMemberCount(std::size_t members)
{
    const std::scoped_lock lock(m_mutex);
    m_memberCount = std::max<std::size_t>(members, 1);
}

FleetRetryBudget::Counters &FleetRetryBudget::countersFor(const std::string &service)
{
    return m_counters.try_emplace(service, Counters{SlidingWindowCounter(m_limits.window), SlidingWindowCounter(m_limits.window)})
        .first->second;
}

void FleetRetryBudget::recordRequest(const std::string &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Counters &it = countersFor(service);
    it.requests.count(now);
    it.requests.add(now);
}

bool FleetRetryBudget::tryAcquire(const std::string &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Counters &it = countersFor(service);
    const double fixed = m_limits.allowance * distributedFraction / static_cast<double>(m_memberCount);
    const double limit = m_limits.ratio * static_cast<double>(it.requests.count(now)) + fixed;
    if (static_cast<double>(it.retries.count(now)) + 1 > limit) {
        return false;
    }
    it.retries.add(now);
    return true;
}

} // namespace Guavalock

#pragma once

#include "Decisions/DurationEstimate.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <map>
#include <optional>
#include <string>

namespace Guavalock
{

/// How long the requests of each route take from their receipt to the end of the response. Lock rank: Budgets.
class RouteDurations
{
public:
    void observe(const std::string &route, Clock::Duration duration);

    /// Returns a duration that few requests of the route exceed, or nothing if none has completed yet.
    std::optional<Clock::Duration> upperBound(const std::string &route) const;

private:
    mutable RankedMutex m_mutex{LockRank::Budgets};
    std::map<std::string, DurationEstimate> m_estimates;
};

} // namespace Guavalock

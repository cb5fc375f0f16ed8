#pragma once

#include "Decisions/StopPlan.h"
#include "Kernel/RankedMutex.h"

#include <chrono>
#include <optional>

namespace Guavalock
{

/// The planned stop of this daemon, once it has begun. Lock rank: Budgets.
class StopSchedule
{
public:
    static constexpr std::chrono::milliseconds retryAfter{50}; ///< Retry-After of requests refused for a stop. Other daemons serve at once.

    void begin(const StopPlan &plan);

    /// Returns the times of the stop, or nothing while no stop is planned.
    std::optional<StopPlan> plan() const;

private:
    mutable RankedMutex m_mutex{LockRank::Budgets};
    std::optional<StopPlan> m_plan;
};

} // namespace Guavalock

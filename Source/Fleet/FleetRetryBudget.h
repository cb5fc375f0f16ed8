#pragma once

#include "Fleet/SlidingWindowCounter.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <cstddef>
#include <map>
#include <string>

namespace Guavalock
{

/// Limits the retries of each service to this daemon's part of a retry budget shared by all daemons. Lock rank: Budgets.
///
/// The part consists of a ratio of the daemon's own requests within the window and an equal share of a fixed allowance.
class FleetRetryBudget
{
public:
    struct Limits {
        double ratio = 0; ///< Retries per request.
        double allowance = 0; ///< Additional retries of all daemons together.
        Clock::Duration window{};

        bool operator==(const Limits &) const = default;
    };

    explicit FleetRetryBudget(Limits limits);

    void setLimits(Limits limits);

    /// Sets the number of daemons among which the allowance is divided.
    void setMemberCount(std::size_t members);

    /// Counts a request, which adds to the budget.
    void recordRequest(const std::string &service, Clock::TimePoint now);

    /// Consumes one retry. Returns false if the budget is exhausted.
    bool tryAcquire(const std::string &service, Clock::TimePoint now);

private:
    struct Counters {
        SlidingWindowCounter requests;
        SlidingWindowCounter retries;
    };

    Counters &countersFor(const std::string &service);

    Limits m_limits;
    RankedMutex m_mutex{LockRank::Budgets};
    std::size_t m_memberCount = 1;
    std::map<std::string, Counters> m_counters;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <map>
#include <string>

namespace Guavalock
{

/// Estimates latency by service: of a piece from submission to result, or of a model call up to its first event.
///
/// The expected latency decays to the typical one within seconds after the last observation, so that a service without recent calls is not
/// considered slow. The stored mean does not decay: the next observation is averaged with it, however old it is. Lock rank: Budgets.
class StageTimes
{
public:
    void observe(const std::string &service, Clock::Duration latency, Clock::TimePoint now);

    /// Returns the expected latency, which is never below the given typical latency.
    Clock::Duration expected(const std::string &service, Clock::Duration typical, Clock::TimePoint now) const;

private:
    struct Estimate {
        std::chrono::duration<double> mean{0};
        Clock::TimePoint last;
    };

    mutable RankedMutex m_mutex{LockRank::Budgets};
    std::map<std::string, Estimate> m_estimates;
};

} // namespace Guavalock

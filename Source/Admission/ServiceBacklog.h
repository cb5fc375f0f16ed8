#pragma once

#include "Kernel/Clock.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Guavalock
{

/// The work that waits for the targets of a stage service, as the daemon that batches the service reports it.
struct ServiceBacklog {
    std::string service;
    /// By rank: how long a piece that arrives now waits until a call includes it. Higher ranks wait as long as the last one.
    std::vector<Clock::Duration> waits;
    /// The same for a piece whose request can't meet its objective any more, which is passed by those that can.
    std::vector<Clock::Duration> lateWaits;
    Clock::Duration callTime{0}; ///< Duration of a call with as many pieces as a target accepts.
    Clock::Duration averageCallTime{0}; ///< Duration of a call with as many pieces as the latest calls had on average.
    double callsPerSecond = 0; ///< Of all targets together.
    Clock::TimePoint measuredAt;

    /// Returns the entry of `waits` or `lateWaits` for a rank, zero if none was reported.
    static Clock::Duration wait(const std::vector<Clock::Duration> &byRank, unsigned rank)
    {
        return byRank.empty() ? Clock::Duration::zero() : byRank[std::min<std::size_t>(rank, byRank.size() - 1)];
    }
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

#include <span>

namespace Guavalock
{

/// Divides a request's remaining time among its stages.
class DeadlineBudget
{
public:
    struct Stage {
        Clock::Duration timeout{}; ///< The stage's configured time limit.
        Clock::Duration minDuration{}; ///< A low estimate of the stage's duration; zero when not known.
    };

    /// Returns whether all remaining stages can finish before the deadline if each takes its minimum duration.
    static bool reachable(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline);

    /// Returns the deadline of the first remaining stage: within its own time limit, and early enough to leave the later stages
    /// their minimum durations.
    static Clock::TimePoint stageDeadline(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline);
};

} // namespace Guavalock

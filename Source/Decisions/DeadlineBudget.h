#pragma once

#include "Kernel/Clock.h"

#include <span>

namespace Guavalock
{

/// Divides a request's time among its stages.
class DeadlineBudget
{
public:
    struct Stage {
        Clock::Duration longest{}; ///< The stage's own deadline from the configuration.
        Clock::Duration best{}; ///< The shortest it is seen to take; zero when not known.
    };

    /// Returns whether the stages from the first in the list on can be done by the deadline if each is as fast as ever seen.
    static bool reachable(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline);

    /// Returns when the first stage in the list has to end: after its own deadline at the latest, and early enough for the best
    /// times of those behind it.
    static Clock::TimePoint stageEnd(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline);
};

} // namespace Guavalock

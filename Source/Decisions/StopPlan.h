#pragma once

#include "Kernel/Clock.h"

namespace Guavalock
{

/// The times of a planned stop.
struct StopPlan {
    Clock::TimePoint begin; ///< When the daemon was asked to stop.
    Clock::TimePoint routedUntil; ///< When load balancers have stopped routing requests to the daemon.
    Clock::TimePoint end; ///< When all responses have to be complete.
};

} // namespace Guavalock

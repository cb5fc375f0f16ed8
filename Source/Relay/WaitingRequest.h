#pragma once

#include "Kernel/Clock.h"

#include <string>

namespace Guavalock
{

/// A request that waits for its stages or for a target.
struct WaitingRequest {
    std::string route;
    Clock::TimePoint receivedAt;
    Clock::TimePoint deadline;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

#include <chrono>
#include <string>

namespace Guavalock
{

/// What daemons tell each other about the limit of requests that a target has stated.
struct LimitReport {
    std::string target;
    std::chrono::milliseconds startTime{0}; ///< Identifies the target's incarnation.
    double requestsPerSecond = 0; ///< From all daemons together, or AvailabilityStatement::unlimited.
    Clock::TimePoint statedAt;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

#include <optional>

namespace Guavalock
{

/// Decides which requests a daemon still accepts during a planned stop.
///
/// Load balancers and clients with open connections send requests for some seconds after the daemon has reported that it is not ready. A
/// request that may take longer than the daemon has left would be cut off, so it is refused and can be retried at another daemon at once.
class StopAdmission
{
public:
    /// Returns whether a request is accepted that will take at most `timeout`, and usually at most `expected` (nothing if unknown), when
    /// all responses have to be complete at `end`.
    static bool accepts(Clock::Duration timeout, std::optional<Clock::Duration> expected, Clock::TimePoint end, Clock::TimePoint now);
};

} // namespace Guavalock

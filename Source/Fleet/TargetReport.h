#pragma once

#include "Fleet/LoadCount.h"

#include <chrono>
#include <optional>

namespace Guavalock
{

/// How one attempt at a target ended, as far as it says something of the target.
struct TargetReport {
    enum class End {
        Answered, ///< With an answer that is its own, also a failure of the request itself.
        Failed, ///< With a failure of the target: an error of its own, or an answer that cannot be read.
        Refused, ///< It stated that it did not run the request.
        Moved, ///< Another target has the address.
        Unreachable, ///< No connection in time, or refused.
        Broken, ///< The connection ended before the answer did.
        Late, ///< Given up by the daemon while the target was silent.
        Cancelled, ///< Given up for a reason of the caller's.
    };

    End end = End::Cancelled;
    std::chrono::microseconds latency{0}; ///< To the answer's first byte.
    std::optional<LoadCount> load;
};

} // namespace Guavalock

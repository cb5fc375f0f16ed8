#pragma once

#include "Fleet/TargetLoad.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Guavalock
{

/// Outcome of one attempt, reduced to what it indicates about the target.
struct AttemptReport {
    enum class Outcome {
        Answered, ///< The target responded, possibly with an error that the request itself caused.
        Failed, ///< The target failed: it returned a server error or a malformed response.
        Refused, ///< The target stated that it did not execute the request.
        AddressReused, ///< Another target now uses the address.
        Unreachable, ///< The connection was refused or timed out.
        ConnectionLost, ///< The connection closed before the response was complete.
        TimedOut, ///< The daemon gave up because the target did not respond.
        Cancelled, ///< Abandoned for a reason on the client's side; indicates nothing about the target.
    };

    Outcome outcome = Outcome::Cancelled;
    std::chrono::microseconds latency{0}; ///< To the first response byte.
    std::optional<TargetLoad> load;
    bool isBroken = false; ///< The response was lost or broken. Not the target's fault if it may have closed an idle connection.
    std::uint64_t attempt = 0; ///< Number given to the attempt when its target was selected; zero if it isn't observed.
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

#include <chrono>
#include <limits>
#include <optional>

namespace Guavalock
{

/// What a target states in a response about further requests.
struct AvailabilityStatement {
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    bool leaves = false; ///< The target is shutting down and wants no further requests.
    std::optional<std::chrono::milliseconds> pause; ///< The target wants no requests from this VM for so long.
    /// Requests per second that the target takes from all VMs together, or `unlimited`. Nothing if the response does not tell.
    std::optional<double> requestLimit;
    /// When the request was sent that the target responded to. Responses on different connections may overtake each other.
    Clock::TimePoint requestSentAt = Clock::TimePoint::max();

    bool isLimited() const
    {
        return requestLimit && *requestLimit != unlimited;
    }

    /// Returns whether the target states no restriction.
    bool isEmpty() const
    {
        return !leaves && !pause && !isLimited();
    }
};

} // namespace Guavalock

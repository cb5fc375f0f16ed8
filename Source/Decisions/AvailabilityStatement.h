#pragma once

#include <chrono>
#include <optional>

namespace Guavalock
{

/// What a target states in a response about further requests.
struct AvailabilityStatement {
    bool leaves = false; ///< The target is shutting down and wants no further requests.
    std::optional<std::chrono::milliseconds> pause; ///< The target wants no requests from this VM for so long.

    bool isEmpty() const
    {
        return !leaves && !pause;
    }
};

} // namespace Guavalock

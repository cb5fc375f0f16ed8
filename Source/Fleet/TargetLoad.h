#pragma once

#include <cstddef>
#include <optional>

namespace Guavalock
{

/// Load that a target reports about itself with a response.
struct TargetLoad {
    std::size_t running = 0; ///< Requests.
    std::size_t waiting = 0; ///< Requests.
    std::size_t slots = 0;
    std::optional<double> slowdown; ///< Current duration of work relative to the usual one; only from targets that share their machine.
};

} // namespace Guavalock

#pragma once

#include <cstddef>
#include <string>

namespace Guavalock
{

/// A target's state and load, as stated in its load report or in the load header of an answer.
struct LoadReport {
    std::string incarnation; ///< Changes at every start of the target.
    bool warm = false; ///< Whether the target reports its state as warm rather than cold.
    std::size_t running = 0; ///< Calls that the target is processing.
    std::size_t waiting = 0; ///< Calls queued on the target.
};

} // namespace Guavalock

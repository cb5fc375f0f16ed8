#pragma once

#include <cstddef>
#include <string>

namespace Guavalock
{

/// A target's state and load, as stated in its load report or in the load header of an answer.
struct LoadReport {
    std::string incarnation; ///< Changes at every start of the target.
    bool warm = false;
    std::size_t running = 0;
    std::size_t waiting = 0;
};

} // namespace Guavalock

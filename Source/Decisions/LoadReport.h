#pragma once

#include <cstddef>
#include <string>

namespace Guavalock
{

/// What a target says of itself, in its load report or in the load header of an answer.
struct LoadReport {
    std::string incarnation; ///< Changes whenever the target starts anew.
    bool warm = false;
    std::size_t running = 0;
    std::size_t waiting = 0;
};

} // namespace Guavalock

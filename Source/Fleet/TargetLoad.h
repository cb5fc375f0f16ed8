#pragma once

#include <cstddef>

namespace Guavalock
{

/// Request counts that a target reports about itself with a response.
struct TargetLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
};

} // namespace Guavalock

#pragma once

#include <cstddef>

namespace Guavalock
{

/// A target's own count of its requests, as given with an answer.
struct LoadCount {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
};

} // namespace Guavalock

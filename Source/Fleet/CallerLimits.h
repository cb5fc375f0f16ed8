#pragma once

#include <chrono>
#include <cstdint>

namespace Guavalock
{

/// Bounds on what a caller may send, from the operator's configuration. The defaults stand until the first one is known.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

} // namespace Guavalock

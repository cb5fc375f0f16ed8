#pragma once

#include <chrono>
#include <cstdint>

namespace Guavalock
{

/// Limits on client requests, from the operator configuration. The defaults apply until a configuration has been received.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

} // namespace Guavalock

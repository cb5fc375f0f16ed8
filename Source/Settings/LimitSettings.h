#pragma once

#include <chrono>
#include <cstddef>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Limits that a daemon enforces on its callers.
struct LimitSettings {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 20'000;
    std::size_t requests = 4'000; ///< Concurrent requests; further ones are refused.
    std::chrono::milliseconds receiveTimeout{10'000};
    std::chrono::milliseconds idleTimeout{60'000};
    std::chrono::milliseconds deadlineMax{600'000};
    std::chrono::milliseconds stopTimeout{30'000};

    static const FieldTable<LimitSettings> &fields();
};

} // namespace Guavalock

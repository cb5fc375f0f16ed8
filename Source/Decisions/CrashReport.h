#pragma once

#include "Kernel/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// The content that one daemon had at a target when the target crashed, as far as its responses had not begun.
struct CrashReport {
    std::string address; ///< Of the target. Its id may change when it starts again.
    Clock::TimePoint at;
    std::vector<std::uint64_t> contents; ///< See ContentHash; without duplicates.
    std::chrono::milliseconds startTime{0}; ///< Identifies the target's incarnation; zero if not known.
    /// Number of earlier crashes with this start time, which is greater than zero if a target has crashed again before its record stated
    /// the new start time. Assigned by CrashLedger.
    unsigned repetition = 0;
};

} // namespace Guavalock

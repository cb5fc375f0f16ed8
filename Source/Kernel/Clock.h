#pragma once

#include <chrono>

namespace Guavalock
{

/// Source of time. Decision code never reads a clock itself: its callers read one and pass in the time point.
class Clock
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;
    using WallTime = std::chrono::system_clock::time_point;

    virtual ~Clock() = default;

    /// Returns monotonic time, used for deadlines, leases and latency measurements.
    virtual TimePoint now() const = 0;

    /// Returns how long the machine has been suspended since boot. Monotonic time does not advance during suspension.
    virtual Duration suspended() const
    {
        return Duration::zero();
    }

    /// Returns the time of day, used in records that other machines read.
    virtual WallTime wallNow() const = 0;
};

} // namespace Guavalock

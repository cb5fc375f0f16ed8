#pragma once

#include <chrono>

namespace Guavalock
{

/// Tells the time. Decisions never read a clock; they take the time point that their caller got from one.
class Clock
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;
    using WallTime = std::chrono::system_clock::time_point;

    virtual ~Clock() = default;

    /// Returns monotonic time, for deadlines, leases and measurements.
    virtual TimePoint now() const = 0;

    /// Returns how long the machine has been suspended since it started; monotonic time stands still meanwhile.
    virtual Duration suspended() const
    {
        return Duration::zero();
    }

    /// Returns the time of day, for records that other machines read.
    virtual WallTime wallNow() const = 0;
};

} // namespace Guavalock

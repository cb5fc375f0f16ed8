#pragma once

#include "Kernel/Clock.h"

#include <atomic>
#include <optional>

namespace Guavalock
{

/// When this daemon ends, once a planned stop has begun. Thread-safe.
class StopSchedule
{
public:
    static constexpr std::chrono::milliseconds retryAfter{50}; ///< Retry-After of requests refused for a stop. Other daemons serve at once.

    /// Begins the stop. All responses have to be complete at `end`.
    void begin(Clock::TimePoint end);

    /// Returns the time by which all responses have to be complete, or nothing while no stop is planned.
    std::optional<Clock::TimePoint> end() const;

private:
    std::atomic<Clock::TimePoint> m_end{Clock::TimePoint::max()};
};

} // namespace Guavalock

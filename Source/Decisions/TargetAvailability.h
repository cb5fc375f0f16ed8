#pragma once

#include "Decisions/RequestLimit.h"
#include "Kernel/Clock.h"

#include <chrono>
#include <optional>

namespace Guavalock
{

struct AvailabilityStatement;

/// Decides from a target's own statements whether it may be sent requests.
///
/// Statements apply to one incarnation of the target, identified by its start time. An incarnation that leaves never becomes available
/// again.
class TargetAvailability
{
public:
    enum class State {
        Available,
        Paused,
        Leaving,
    };

    explicit TargetAvailability(std::chrono::milliseconds startTime);

    /// Discards all statements if the target has been restarted since. Earlier start times are ignored.
    void setStartTime(std::chrono::milliseconds startTime);

    /// Applies a statement made by the incarnation with the given start time. Returns whether the target begins to leave, a pause begins or
    /// is extended, or the limit of its requests changes. Statements of other incarnations have no effect.
    bool apply(const AvailabilityStatement &statement, std::chrono::milliseconds startTime, Clock::TimePoint now);

    /// Returns whether the target has ever stated a restriction.
    bool hasStatements() const;

    /// Applies what another daemon has received about the limit of the incarnation with the given start time. Returns whether the limit
    /// changes.
    bool mergeLimit(double requestsPerSecond, Clock::TimePoint statedAt, std::chrono::milliseconds startTime, Clock::TimePoint now);

    RequestLimit &limit();
    const RequestLimit &limit() const;

    /// Returns the latest start time that is known, which statements must match.
    std::chrono::milliseconds startTime() const;

    State state(Clock::TimePoint now) const;

    /// Returns the remaining time of a pause, or nothing if the target is not paused.
    std::optional<Clock::Duration> remainingPause(Clock::TimePoint now) const;

private:
    std::chrono::milliseconds m_startTime;
    bool m_leaving = false;
    Clock::TimePoint m_pausedUntil = Clock::TimePoint::min();
    RequestLimit m_limit;
};

} // namespace Guavalock

#pragma once

#include "Decisions/AvailabilityStatement.h"
#include "Kernel/Clock.h"

namespace Guavalock
{

/// The rate of requests that one incarnation of a target takes from all daemons together, as it has stated in its responses.
class RequestLimit
{
public:
    /// Applies what a response says that arrives now. Responses may overtake each other, so a limit is raised or lifted only by a response
    /// to a request that was sent after the limit had been stated. Returns whether the limit changes.
    bool apply(double requestsPerSecond, Clock::TimePoint requestSentAt, Clock::TimePoint now);

    /// Returns the limit, or AvailabilityStatement::unlimited.
    double requestsPerSecond() const;

private:
    double m_requestsPerSecond = AvailabilityStatement::unlimited;
    Clock::TimePoint m_statedAt = Clock::TimePoint::min();
};

} // namespace Guavalock

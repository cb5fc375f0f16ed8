#pragma once

#include "Kernel/Clock.h"

namespace Guavalock
{

/// What a daemon expects of a stage service for one rank, from the latest report of the service's backlog.
struct BacklogEstimate {
    Clock::Duration wait{0}; ///< From the arrival of a piece until a call includes it.
    Clock::Duration lateWait{0}; ///< The same for a request that can't meet its objective.
    Clock::Duration callTime{0}; ///< Duration of a full call.
    Clock::Duration averageCallTime{0}; ///< Duration of the latest calls.
    Clock::Duration age{0}; ///< Since the report was measured.
    double weight = 0; ///< Confidence in the report, from one for a new report to zero.

    /// Returns the expected time from the submission of a piece to its result, which is never below the given typical time.
    Clock::Duration expected(Clock::Duration typical) const;

    /// The same for a request that can't meet its objective.
    Clock::Duration expectedWhenLate(Clock::Duration typical) const;

    /// Returns whether more than one full call of all targets is ahead of a piece of the rank. Less urgent pieces don't count, so that no
    /// request is refused in their favour.
    bool isOverloaded() const;
};

} // namespace Guavalock

#pragma once

namespace Guavalock
{

/// How one attempt at a stage ended.
enum class AttemptEnd {
    Answered, ///< A whole answer for this attempt came.
    Withdrawn, ///< Cancelled before any byte left for the target.
    NotSent, ///< The target could not be reached; no byte left.
    Rejected, ///< The target answered that it did not run the call.
    Failed, ///< The target answered that it ran the call and failed.
    Invalid, ///< An answer came that cannot be read or is for another attempt.
    Lost, ///< The call left, and the connection ended before the whole answer.
    TimedOut, ///< The call left, and the stage deadline passed.
    Cancelled, ///< The call left, and was cancelled on the caller's behalf.
};

} // namespace Guavalock

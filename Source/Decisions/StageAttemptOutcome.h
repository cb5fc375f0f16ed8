#pragma once

namespace Guavalock
{

/// The outcome of one attempt at a stage.
enum class StageAttemptOutcome {
    Answered, ///< A complete answer to this attempt was received.
    Withdrawn, ///< Cancelled before any byte was sent to the target.
    NotSent, ///< The target could not be reached; no byte was sent.
    Rejected, ///< The target answered that it did not execute the call.
    Failed, ///< The target answered that it executed the call and failed.
    Invalid, ///< The answer could not be parsed or belongs to another attempt.
    Lost, ///< The call was sent, and the connection closed before the complete answer was received.
    TimedOut, ///< The call was sent, and the stage deadline passed.
    Cancelled, ///< The call was sent, and was then cancelled on the caller's behalf.
};

} // namespace Guavalock

#pragma once

namespace Guavalock
{

/// Why a request cannot be answered, regardless of whether any part of it has run.
enum class RefusalCause {
    Draining,
    Overloaded,
    DeadlineUnreachable,
    NoTarget,
    DataCentreOut,
    StageFailed,
    AnswerInvalid,
    AnswerLost,
    CallerClosed,
    Quarantined,
    StopTimeout,
    PeerUnreachable,
    PipelineMissing,
};

} // namespace Guavalock

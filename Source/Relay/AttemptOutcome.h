#pragma once

#include "Relay/AnswerHead.h"

#include <string>

namespace Guavalock
{

/// How one attempt at a target ended for the request.
struct AttemptOutcome {
    enum class End {
        Answered, ///< Head and body are whole and not yet given to the caller.
        Delivered, ///< The caller has the answer.
        CallerGone, ///< The caller's connection broke while the answer was given.
        NotRun, ///< The target states that it did not run the request.
        NotReached, ///< There was no connection to the target; nothing was sent.
        InputsGone, ///< It did not run the request, because a stage result is gone.
        Broken, ///< No whole answer; it may have run.
        Silent, ///< No beginning of an answer within the attempt's limit; it may have run.
        Cut, ///< The answer broke off after part of it was given to the caller.
        Cancelled, ///< The request was cancelled meanwhile; it may have run.
    };

    End end = End::Broken;
    AnswerHead head;
    std::string body;
};

} // namespace Guavalock

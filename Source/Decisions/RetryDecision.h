#pragma once

#include "Decisions/AttemptEnd.h"
#include "Decisions/RefusalCause.h"

#include <cstddef>

namespace Guavalock
{

/// Decides whether a stage is tried again after an attempt that brought no answer.
class RetryDecision
{
public:
    struct Facts {
        AttemptEnd end = AttemptEnd::NotSent;
        bool idempotent = true;
        std::size_t attemptsMade = 1;
        std::size_t attemptsAllowed = 1;
        bool budgetLeft = true; ///< Whether the pool's retry budget holds a token.
    };

    struct Verdict {
        bool retry = false;
        bool spendsBudget = false; ///< A retry of a call that reached a target takes a token.
        RefusalCause cause = RefusalCause::StageFailed; ///< The cause when there is no retry.
    };

    static Verdict decide(const Facts &facts);
};

} // namespace Guavalock

#pragma once

#include "Decisions/RefusalCause.h"
#include "Decisions/StageAttemptOutcome.h"

#include <cstddef>

namespace Guavalock
{

/// Decides whether a stage is retried after an attempt without an answer.
class RetryDecision
{
public:
    struct Inputs {
        StageAttemptOutcome end = StageAttemptOutcome::NotSent;
        bool idempotent = true;
        std::size_t attemptsMade = 1;
        std::size_t attemptsAllowed = 1;
        bool budgetLeft = true; ///< Whether the pool's retry budget has a token.
    };

    struct Verdict {
        bool retry = false;
        bool spendsBudget = false; ///< Whether the retry takes a token: set if the attempt reached a target.
        RefusalCause cause = RefusalCause::StageFailed; ///< The refusal's cause when there is no retry.
    };

    static Verdict decide(const Inputs &inputs);
};

} // namespace Guavalock

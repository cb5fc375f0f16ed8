#include "Decisions/RetryDecision.h"

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace
{

enum class Repeat {
    Always,
    IfIdempotent,
    Never,
};

struct Row {
    StageAttemptOutcome end;
    Repeat repeat;
    bool reachedTarget;
    RefusalCause cause;
};

constexpr std::array table = {
    Row{StageAttemptOutcome::Answered, Repeat::Never, true, RefusalCause::StageFailed},
    Row{StageAttemptOutcome::Withdrawn, Repeat::Never, false, RefusalCause::CallerClosed},
    Row{StageAttemptOutcome::NotSent, Repeat::Always, false, RefusalCause::NoTarget},
    Row{StageAttemptOutcome::Rejected, Repeat::Always, true, RefusalCause::Overloaded},
    Row{StageAttemptOutcome::Failed, Repeat::IfIdempotent, true, RefusalCause::StageFailed},
    Row{StageAttemptOutcome::Invalid, Repeat::IfIdempotent, true, RefusalCause::AnswerInvalid},
    Row{StageAttemptOutcome::Lost, Repeat::IfIdempotent, true, RefusalCause::AnswerLost},
    Row{StageAttemptOutcome::TimedOut, Repeat::IfIdempotent, true, RefusalCause::DeadlineUnreachable},
    Row{StageAttemptOutcome::Cancelled, Repeat::Never, true, RefusalCause::CallerClosed},
};

bool mayRetry(const Row &row, bool idempotent)
{
    return row.repeat == Repeat::Always || (row.repeat == Repeat::IfIdempotent && idempotent);
}

} // namespace

RetryDecision::Verdict RetryDecision::decide(const Inputs &inputs)
{
    const Row &row = *std::ranges::find(table, inputs.end, &Row::end);
    Verdict verdict;
    verdict.cause = row.cause;
    if (!mayRetry(row, inputs.idempotent) || inputs.attemptsMade >= inputs.attemptsAllowed) {
        return verdict;
    }
    if (row.reachedTarget && !inputs.budgetLeft) {
        return verdict;
    }
    verdict.retry = true;
    verdict.spendsBudget = row.reachedTarget;
    return verdict;
}

} // namespace Guavalock

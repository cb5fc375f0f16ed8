#include "Decisions/StageRetryPolicy.h"

#include "Decisions/RetryDecision.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds maxHoldTime{1'500}; ///< How long a stage waits for a target when its pool has none available.

} // namespace

StageRetryPolicy::StageRetryPolicy(bool idempotent, std::size_t attemptsAllowed, Clock::TimePoint start, Clock::TimePoint deadline)
    : m_idempotent(idempotent)
    , m_attemptsAllowed(attemptsAllowed)
    , m_holdUntil(std::min(start + maxHoldTime, deadline))
    , m_deadline(deadline)
{
}

std::size_t StageRetryPolicy::attemptNumber() const
{
    return m_attempt;
}

bool StageRetryPolicy::shouldHold(const Attempt &attempt, Clock::TimePoint now) const
{
    const bool noTarget = attempt.cause == RefusalCause::NoTarget || attempt.cause == RefusalCause::PeerUnreachable;
    return !attempt.targetTried && noTarget && now + holdInterval < m_holdUntil;
}

StageRetryPolicy::Action StageRetryPolicy::nextAction(const Attempt &attempt, bool budgetLeft, Clock::TimePoint now)
{
    if (attempt.end == StageAttemptOutcome::Answered) {
        return {Step::Done, false, RefusalCause::StageFailed};
    }
    if (shouldHold(attempt, now)) {
        return {Step::Hold, false, RefusalCause::NoTarget};
    }
    const RetryDecision::Verdict verdict = RetryDecision::decide({attempt.end, m_idempotent, m_attempt, m_attemptsAllowed, budgetLeft});
    const bool timeLeft = now < m_deadline;
    if (verdict.retry && timeLeft && attempt.targetTried) {
        ++m_attempt;
        return {Step::Retry, verdict.spendsBudget, verdict.cause};
    }
    const RefusalCause cause = timeLeft ? verdict.cause : RefusalCause::DeadlineUnreachable;
    return {Step::Refuse, false, attempt.cause.value_or(cause)};
}

} // namespace Guavalock

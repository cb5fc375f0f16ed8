#pragma once

#include "Decisions/RefusalCause.h"
#include "Decisions/StageAttemptOutcome.h"
#include "Kernel/Clock.h"

#include <cstddef>
#include <optional>

namespace Guavalock
{

/// Decides after each attempt at one stage of a request whether to retry, to hold the stage or to refuse.
class StageRetryPolicy
{
public:
    /// Interval at which a held stage checks for an available target.
    static constexpr std::chrono::milliseconds holdInterval{50};

    struct Attempt {
        StageAttemptOutcome end = StageAttemptOutcome::NotSent;
        bool targetTried = false; ///< Whether a target was selected for the attempt.
        std::optional<RefusalCause> cause; ///< Why no target was selected, or why the attempt was stopped.
    };

    enum class Step {
        Done,
        Retry, ///< Retry immediately.
        Hold, ///< Retry after the hold interval; no target is available, but one may come back.
        Refuse,
    };

    struct Action {
        Step step = Step::Refuse;
        bool spendsBudget = false; ///< For a retry: whether it takes a token of the pool's retry budget.
        RefusalCause cause = RefusalCause::StageFailed; ///< For a refusal.
    };

    StageRetryPolicy(bool idempotent, std::size_t attemptsAllowed, Clock::TimePoint start, Clock::TimePoint deadline);

    Action nextAction(const Attempt &attempt, bool budgetLeft, Clock::TimePoint now);

    /// Returns the number of the current attempt, counted from one. A hold does not start a new attempt.
    std::size_t attemptNumber() const;

private:
    bool shouldHold(const Attempt &attempt, Clock::TimePoint now) const;

    bool m_idempotent;
    std::size_t m_attemptsAllowed;
    std::size_t m_attempt = 1;
    Clock::TimePoint m_holdUntil;
    Clock::TimePoint m_deadline;
};

} // namespace Guavalock

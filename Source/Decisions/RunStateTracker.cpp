#include "Decisions/RunStateTracker.h"

namespace Guavalock
{

void RunStateTracker::recordAttempt(StageAttemptOutcome end)
{
    switch (end) {
    case StageAttemptOutcome::Answered:
    case StageAttemptOutcome::Failed:
        m_anyRun = true;
        break;
    case StageAttemptOutcome::Invalid:
    case StageAttemptOutcome::Lost:
    case StageAttemptOutcome::TimedOut:
    case StageAttemptOutcome::Cancelled:
        m_anyUnknown = true;
        break;
    case StageAttemptOutcome::Withdrawn:
    case StageAttemptOutcome::NotSent:
    case StageAttemptOutcome::Rejected:
        break;
    }
}

RunState RunStateTracker::state() const
{
    if (m_anyUnknown) {
        return RunState::Unknown;
    }
    return m_anyRun ? RunState::Yes : RunState::No;
}

} // namespace Guavalock

#include "Decisions/RunTracker.h"

namespace Guavalock
{

void RunTracker::ended(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
    case AttemptEnd::Failed:
        m_anyRun = true;
        break;
    case AttemptEnd::Invalid:
    case AttemptEnd::Lost:
    case AttemptEnd::TimedOut:
    case AttemptEnd::Cancelled:
        m_anyUnknown = true;
        break;
    case AttemptEnd::Withdrawn:
    case AttemptEnd::NotSent:
    case AttemptEnd::Rejected:
        break;
    }
}

RunState RunTracker::state() const
{
    if (m_anyUnknown) {
        return RunState::Unknown;
    }
    return m_anyRun ? RunState::Yes : RunState::No;
}

} // namespace Guavalock

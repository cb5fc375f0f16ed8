#pragma once

#include "Decisions/StageAttemptOutcome.h"
#include "Kernel/RunState.h"

namespace Guavalock
{

/// Derives from the attempts of one request whether any part of it has run.
class RunStateTracker
{
public:
    /// Records the outcome of one attempt.
    void recordAttempt(StageAttemptOutcome end);

    /// Returns the state over all attempts so far.
    RunState state() const;

private:
    bool m_anyRun = false;
    bool m_anyUnknown = false;
};

} // namespace Guavalock

#pragma once

#include "Decisions/AttemptEnd.h"
#include "Kernel/RunState.h"

namespace Guavalock
{

/// Follows the attempts of one request to say whether any of it has run.
class RunTracker
{
public:
    /// Takes the end of one attempt into account.
    void ended(AttemptEnd end);

    /// Returns the state over all attempts so far.
    RunState state() const;

private:
    bool m_anyRun = false;
    bool m_anyUnknown = false;
};

} // namespace Guavalock

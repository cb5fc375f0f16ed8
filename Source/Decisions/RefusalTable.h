#pragma once

#include "Decisions/RefusalCause.h"
#include "Kernel/Refusal.h"

#include <string>

namespace Guavalock
{

/// Maps a cause and the run state to the refusal that the caller receives.
///
/// Codes of the 2xx family, which state that the request was not run, are used only with RunState::No. With RunState::Unknown and a
/// request that is not idempotent, the code is OutcomeUnknown.
class RefusalTable
{
public:
    static Refusal refusalFor(RefusalCause cause, RunState run, bool idempotent, std::string detail);
};

} // namespace Guavalock

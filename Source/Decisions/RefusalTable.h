#pragma once

#include "Decisions/RefusalCause.h"
#include "Kernel/Refusal.h"

#include <string>

namespace Guavalock
{

/// Turns a cause and the run state into what the caller is told.
///
/// A code of the 2xx family is only given when the state is RunState::No. When the state is RunState::Unknown and the request
/// may not be repeated, the code is OutcomeUnknown.
class RefusalTable
{
public:
    static Refusal refusal(RefusalCause cause, RunState run, bool idempotent, std::string detail);
};

} // namespace Guavalock

#pragma once

#include "Kernel/ResultCode.h"
#include "Kernel/RunState.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace Guavalock
{

/// Error result returned to a caller instead of a response.
struct Refusal {
    ResultCode code = ResultCode::Ok;
    RunState run = RunState::No;
    std::string reason;
    /// Delay after which the same request may be retried; empty if a retry is pointless.
    std::optional<std::chrono::milliseconds> retryAfter;

    /// Creates a refusal without a retry delay. Coroutines must use this instead of brace initialisation: GCC 12 may destroy such a
    /// temporary twice.
    static Refusal of(ResultCode code, RunState run, std::string reason)
    {
        Refusal refusal;
        refusal.code = code;
        refusal.run = run;
        refusal.reason = std::move(reason);
        return refusal;
    }
};

} // namespace Guavalock

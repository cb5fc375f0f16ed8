#pragma once

#include "Kernel/ResultCode.h"
#include "Kernel/RunState.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace Guavalock
{

/// What a caller is told in place of an answer.
struct Refusal {
    ResultCode code = ResultCode::Ok;
    RunState run = RunState::No;
    std::string reason;
    /// When the same request is worth sending again; empty when it is not.
    std::optional<std::chrono::milliseconds> retryAfter;

    /// Makes a refusal that is not worth repeating. Coroutines use this in place of braces, which GCC 12 may destroy twice.
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

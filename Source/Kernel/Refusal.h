#pragma once

#include "Kernel/ResultCode.h"
#include "Kernel/RunState.h"

#include <chrono>
#include <optional>
#include <string>

namespace Guavalock
{

/// What a caller is told in place of an answer.
struct Refusal {
    ResultCode code = ResultCode::Ok;
    RunState run = RunState::No;
    std::string reason;
    /// When the same request is worth sending again; empty when it is not.
    std::optional<std::chrono::milliseconds> retryAfter;
};

} // namespace Guavalock

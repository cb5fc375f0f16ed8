#pragma once

#include "Kernel/RunState.h"

#include <chrono>
#include <optional>
#include <string>

namespace Guavalock
{

/// What has become of one request so far.
struct RequestHistory {
    std::optional<std::chrono::milliseconds> stagesDuration; ///< From receipt of the request to completion of its stages.
    std::optional<std::chrono::milliseconds> timeToFirstEvent; ///< From receipt of the request to the first event of the response.
    std::string lastTarget;
    unsigned sends = 0; ///< All attempts, including those that reached no target.
    RunState runState = RunState::No;
};

} // namespace Guavalock

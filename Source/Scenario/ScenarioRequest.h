#pragma once

#include "Decisions/RunStateTracker.h"
#include "Decisions/StageRequirements.h"
#include "Decisions/StageRetryPolicy.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

struct ScenarioDaemon;

/// A simulated request and its progress through the stages.
struct ScenarioRequest {
    std::uint64_t id = 0;
    std::uint64_t fingerprint = 0;
    bool poison = false;
    std::string organisation;
    ScenarioDaemon *daemon = nullptr; ///< Daemon that received the request.
    Clock::TimePoint arrived{};
    Clock::TimePoint deadline{};
    std::size_t stage = 0;
    std::optional<StageRetryPolicy> retryPolicy;
    RunStateTracker run;
    std::vector<std::uint64_t> excludedTargets; ///< Hashes of targets that failed the current stage.
    std::size_t startedCalls = 0; ///< Calls that targets started for this request.
    bool finished = false;
    Clock::Duration targetTime{}; ///< Total target time of its calls.
};

} // namespace Guavalock

#pragma once

#include "Decisions/RunTracker.h"
#include "Decisions/StageCourse.h"
#include "Decisions/StageDemand.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

struct ScenarioDaemon;

/// One request of a scenario on its way through the stages.
struct ScenarioRequest {
    std::uint64_t id = 0;
    std::uint64_t fingerprint = 0;
    bool poison = false;
    std::string organisation;
    ScenarioDaemon *daemon = nullptr; ///< The one that the caller asked.
    Clock::TimePoint arrived{};
    Clock::TimePoint deadline{};
    std::size_t stage = 0;
    std::optional<StageCourse> course;
    RunTracker run;
    std::vector<std::uint64_t> avoid; ///< Targets that failed the present stage.
    std::size_t runs = 0; ///< Calls that targets began for it.
    bool over = false;
    Clock::Duration busy{}; ///< Target time that its calls took.
};

} // namespace Guavalock

#pragma once

#include "Decisions/LoadReport.h"
#include "Decisions/RefusalCause.h"
#include "Decisions/StageAttemptOutcome.h"
#include "Kernel/Clock.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

/// The outcome of one attempt at a stage.
struct AttemptResult {
    StageAttemptOutcome outcome = StageAttemptOutcome::NotSent;
    std::string detail; ///< Human-readable explanation when the attempt produced no answer.
    std::optional<RefusalCause> cause; ///< Why no target was tried; empty when one was.
    boost::json::object output;
    std::size_t tokensIn = 0;
    std::size_t tokensOut = 0;
    std::string target; ///< Empty when no target was selected.
    Clock::Duration duration{}; ///< Measured from the time the slot was granted.
    bool targetDied = false;
    std::optional<LoadReport> load;
};

} // namespace Guavalock

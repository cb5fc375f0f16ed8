#pragma once

#include "Decisions/AttemptEnd.h"
#include "Decisions/LoadReport.h"
#include "Decisions/RefusalCause.h"
#include "Kernel/Clock.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

/// What came of one attempt at a stage.
struct AttemptResult {
    AttemptEnd end = AttemptEnd::NotSent;
    std::string detail; ///< For people, when the attempt brought no answer.
    std::optional<RefusalCause> cause; ///< Why no target was tried, when none was.
    boost::json::object output;
    std::size_t tokensIn = 0;
    std::size_t tokensOut = 0;
    std::string target; ///< Empty when none was chosen.
    Clock::Duration took{}; ///< From the moment the slot was given.
    bool targetDied = false;
    std::optional<LoadReport> load;
};

} // namespace Guavalock

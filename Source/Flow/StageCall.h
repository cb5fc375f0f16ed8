#pragma once

#include "Decisions/StageRequirements.h"
#include "Kernel/Clock.h"

#include <boost/json/object.hpp>

#include <string>

namespace Guavalock
{

/// A call for one stage of one request, as passed to a local target or to a peer.
struct StageCall {
    std::string requestId;
    std::string attemptId;
    std::string pool; ///< In the form TEAM/NAME.
    std::string model;
    std::string path;
    std::string idempotencyKey;
    bool idempotent = true;
    StageRequirements requirements; ///< Its deadline is the time by which the stage must finish.
    boost::json::object input;
    std::size_t position = 0;
    std::string textSoFar;
};

} // namespace Guavalock

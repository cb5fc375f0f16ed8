#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Values added to a request when it is sent to one target.
struct UpstreamParameters {
    std::string targetId; ///< Expected target; any other target rejects the request.
    std::chrono::milliseconds remainingTime{0};
    std::string organisation; ///< Empty for requests without an API key.
    std::optional<unsigned> rank; ///< Scheduling priority, zero being the highest; unset for the target's default.
    std::optional<std::vector<std::string>> inputs; ///< Handles of stage results; set if the route has stages.
    std::string resumeAfterEventId; ///< Id of the last event that the client received; empty to start from the beginning.
};

} // namespace Guavalock

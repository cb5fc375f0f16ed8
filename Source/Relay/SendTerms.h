#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// What the system adds to a request for one attempt at one target.
struct SendTerms {
    std::string targetId; ///< Any other target refuses the request.
    std::chrono::milliseconds timeLeft{0};
    std::string organisation; ///< Empty for requests without a key.
    std::optional<unsigned> rank; ///< Zero is the most urgent; empty for the target's default.
    std::optional<std::vector<std::string>> inputs; ///< Handles of stage results; set when the route has stages.
    std::string resumeAfter; ///< Last event that the caller has; empty to begin at the start.
};

} // namespace Guavalock

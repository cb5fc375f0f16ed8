#pragma once

#include "Placement/PromptPart.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// A request for a target, as a daemon sends it to the placement owner.
struct PlacementQuery {
    std::uint64_t number = 0;
    std::string service;
    unsigned rank = 0;
    std::chrono::microseconds timeLeft{0}; ///< Until the latency objective; negative if it has passed.
    std::chrono::microseconds timeout{0}; ///< After this time, a placement whose end has not been reported is dropped.
    std::size_t promptTokens = 0;
    std::size_t outputTokens = 0; ///< The maximum that the request states.
    std::vector<PromptPart> parts; ///< Shared parts, in the order of the prompt.
    std::vector<std::string> triedTargets;
    std::string dataCentre; ///< Where the stage results of the request are; empty for no preference.
    std::size_t remoteTokens = 0; ///< Prompt tokens whose processing costs as much as execution in another data centre.

    bool operator==(const PlacementQuery &) const = default;
};

} // namespace Guavalock

#pragma once

#include "Placement/PromptPart.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// What the placement owner of a data centre has placed at one target.
struct PlacementTotal {
    std::string target;
    std::size_t requests = 0; ///< In progress.
    std::size_t tokens = 0; ///< Prompt and output tokens of these requests.
    std::size_t waitingTokens = 0; ///< Prompt tokens that have not been processed yet.
    /// Shared parts placed there since the previous totals. Without them, the owner of each data centre would have a part processed at
    /// another target.
    std::vector<PromptPart> parts;

    bool operator==(const PlacementTotal &) const = default;
};

} // namespace Guavalock

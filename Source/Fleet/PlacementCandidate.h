#pragma once

#include <chrono>
#include <string>

namespace Guavalock
{

/// A target of a service as the placement owner knows it from its own table.
struct PlacementCandidate {
    std::string id;
    std::string dataCentre;
    std::chrono::milliseconds startTime{0}; ///< Identifies the target's incarnation.
    bool usable = true; ///< Accepts work, and is neither cold nor suspect.
};

} // namespace Guavalock

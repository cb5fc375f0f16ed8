#pragma once

#include <chrono>

namespace Guavalock
{

/// What a new version may receive before it is known to be sound.
struct RolloutLimits {
    double exposureShare = 0; ///< Of the requests of its service, from 0 to 1.
    double exposureTolerance = 0; ///< Requests beyond that share, of all daemons together.
    std::chrono::milliseconds rollbackTime{0}; ///< From the 50th bad response to the last request sent to the version.

    bool operator==(const RolloutLimits &) const = default;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"
#include "Rollout/RouteCounts.h"

#include <cstdint>
#include <string>

namespace Guavalock
{

/// What one daemon has seen of an order's versions since it learned of the order.
struct RolloutEvidence {
    std::string vm;
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Rises with each message of an incarnation.
    std::string service;
    std::string version; ///< Of the order.
    Clock::TimePoint orderStart; ///< As early as the daemon knows.
    std::uint64_t inProgressNew = 0; ///< Requests at targets of the new version.
    std::uint64_t inProgressOther = 0;
    CountsByRoute routes;
    bool forwarded = false; ///< Whether another daemon has passed it on.

    bool operator==(const RolloutEvidence &) const = default;
};

} // namespace Guavalock

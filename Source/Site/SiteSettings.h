#pragma once

#include "Fleet/FleetRetryBudget.h"
#include "Fleet/MemberRecord.h"
#include "Rollout/RolloutLimits.h"
#include "Settings/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Guavalock
{

/// Settings that a deployment provides to a daemon.
struct SiteSettings {
    MemberRecord self; ///< Without the incarnation, which the daemon generates.
    Endpoint callers;
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    Endpoint store;
    std::vector<Endpoint> seeds; ///< Peer addresses of other daemons, contacted at startup.
    std::chrono::milliseconds gracePeriod{0}; ///< Time between the stop signal and the forced termination of the process.
    FleetRetryBudget::Limits retryLimits;
    std::size_t memoryBytes = 0; ///< Memory assigned to the process; zero if not specified.
    std::optional<RolloutLimits> rolloutLimits; ///< Without them, orders to move to another version are ignored.

    bool operator==(const SiteSettings &) const = default;
};

} // namespace Guavalock

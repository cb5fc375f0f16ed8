#pragma once

#include "Fleet/MemberRecord.h"
#include "Fleet/RepeatBudget.h"
#include "Settings/Endpoint.h"

#include <chrono>
#include <optional>
#include <vector>

namespace Guavalock
{

/// What a daemon is told of itself by the deployment that runs it.
struct SiteSettings {
    MemberRecord self; ///< But for the incarnation, which the daemon draws.
    Endpoint callers;
    Endpoint readiness;
    std::optional<Endpoint> metrics;
    Endpoint store;
    std::vector<Endpoint> seeds; ///< Where other daemons may listen for their peers.
    std::chrono::milliseconds graceTime{0}; ///< From the stop signal to the end of the process by force.
    RepeatBudget::Terms repeats;

    bool operator==(const SiteSettings &) const = default;
};

} // namespace Guavalock

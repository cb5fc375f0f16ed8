#pragma once

#include "Rollout/VersionCounts.h"

#include <map>
#include <string>

namespace Guavalock
{

/// The counts of one route for the new version of a service and for the others.
struct RouteCounts {
    VersionCounts newVersion;
    VersionCounts otherVersions;

    bool operator==(const RouteCounts &) const = default;
};

/// By route. Calls to stage services have an empty one.
using CountsByRoute = std::map<std::string, RouteCounts>;

} // namespace Guavalock

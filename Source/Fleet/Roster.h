#pragma once

#include <cstdint>
#include <vector>

namespace Guavalock
{

/// The live daemons that a hub tells its links about (see LinkPlan). Daemons are identified by FleetMembership::idOf(), in ascending order.
///
/// Only `direct` is passed on by other hubs, so a daemon cannot be kept alive by hubs that repeat each other.
struct Roster {
    std::vector<std::uint64_t> direct; ///< Daemons from which the hub itself receives heartbeats, and the hub.
    std::vector<std::uint64_t> relayed; ///< Further daemons, as reported by other hubs.

    bool operator==(const Roster &) const = default;
};

} // namespace Guavalock

#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace Guavalock
{

/// Identifies a placement in the whole fleet.
struct PlacementKey {
    std::string origin; ///< Vm name of the daemon that sends the request.
    std::uint64_t number = 0; ///< Unique for the daemon, also across its restarts.

    bool operator<(const PlacementKey &other) const
    {
        return std::tie(origin, number) < std::tie(other.origin, other.number);
    }
};

} // namespace Guavalock

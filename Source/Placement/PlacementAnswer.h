#pragma once

#include <cstdint>
#include <string>

namespace Guavalock
{

/// The placement owner's answer to a query.
struct PlacementAnswer {
    std::uint64_t number = 0; ///< Of the query.
    std::string target; ///< Empty if the owner knows no target that can be used.

    bool operator==(const PlacementAnswer &) const = default;
};

} // namespace Guavalock

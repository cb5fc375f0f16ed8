#pragma once

#include <cstdint>
#include <string>

namespace Guavalock
{

/// How the target of a request was determined.
struct PlacementResult {
    enum class Source {
        Placed, ///< By the placement owner.
        Inactive, ///< Placement is not used for the service or the fleet.
        NoOwner, ///< No owner is known or linked.
        Timeout, ///< The owner did not answer in time.
        Silent, ///< The owner was not asked because it did not answer before.
        NoTarget, ///< The owner knows no target that can be used.
        Rejected, ///< This daemon may not use the target that the owner has selected.
    };

    Source source = Source::Inactive;
    std::uint64_t number = 0; ///< Of the placement; zero if inactive.
    std::string target; ///< Set if placed.
};

} // namespace Guavalock

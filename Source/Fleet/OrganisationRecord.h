#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// An organisation and the keys by which its callers are known.
struct OrganisationRecord {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> rank; ///< Replaces the rank of the route.
};

} // namespace Guavalock

#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// An organisation and the API keys that identify its clients.
struct OrganisationRecord {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> rank; ///< Overrides the rank of the route.
};

} // namespace Guavalock

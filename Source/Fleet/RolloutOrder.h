#pragma once

#include <chrono>
#include <string>

namespace Guavalock
{

/// The operator's order to move the requests of a service to targets of another version.
struct RolloutOrder {
    std::string service;
    std::string version; ///< Empty if the order was deleted.
    std::chrono::milliseconds duration{0}; ///< From the order to its deadline.

    bool operator==(const RolloutOrder &) const = default;
};

} // namespace Guavalock

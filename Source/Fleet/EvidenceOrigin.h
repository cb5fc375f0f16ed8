#pragma once

#include <cstdint>
#include <string>

namespace Guavalock
{

/// Identifies a message that hubs forward to all daemons, so that each hub forwards it once.
struct EvidenceOrigin {
    std::string vm; ///< The daemon that has sent it first.
    std::string incarnation; ///< Of that daemon, whose numbers begin again when it restarts.
    std::uint64_t number = 0; ///< Increases with each message of the daemon.

    bool operator==(const EvidenceOrigin &) const = default;

    bool empty() const
    {
        return vm.empty();
    }
};

} // namespace Guavalock

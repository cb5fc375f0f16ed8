#pragma once

#include "Settings/Endpoint.h"

#include <string>

namespace Guavalock
{

/// Published record of a daemon of the fleet.
struct MemberRecord {
    std::string vm;
    std::string dataCentre;
    Endpoint peerAddress;
    std::string incarnation; ///< Unique to each start of the process.
    double processorShare = 0; ///< Available processor cores; may be fractional.

    bool operator==(const MemberRecord &) const = default;
};

} // namespace Guavalock

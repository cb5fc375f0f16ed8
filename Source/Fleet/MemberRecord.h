#pragma once

#include "Settings/Endpoint.h"

#include <string>

namespace Guavalock
{

/// One daemon as the others know it.
struct MemberRecord {
    std::string vm;
    std::string dataCentre;
    Endpoint peerAddress;
    std::string incarnation; ///< Changes with every start of the process.
    double processorShare = 0; ///< Cores, as a fraction.

    bool operator==(const MemberRecord &) const = default;
};

} // namespace Guavalock

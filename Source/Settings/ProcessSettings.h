#pragma once

#include "Settings/Endpoint.h"
#include "Settings/LimitSettings.h"
#include "Settings/PeerSettings.h"

#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Startup settings of a daemon: its identity, listening endpoints, peers, platform endpoint and limits.
struct ProcessSettings {
    std::string vm;
    std::string dataCentre;
    std::size_t workers = 0; ///< Number of worker threads; 0 selects one per processor.
    Endpoint callers;
    Endpoint administration;
    Endpoint peerListen;
    std::string peerKey;
    std::vector<std::string> acceptedPeerKeys; ///< Additional keys accepted from peers during key rotation.
    std::vector<PeerSettings> peers; ///< All daemons of the deployment; may include this one.
    std::string platformPlugin = "http";
    Endpoint platform;
    LimitSettings limits;

    static const FieldTable<ProcessSettings> &fields();

    /// Returns the sorted, unique VM names of the daemons in this data centre, including this one.
    std::vector<std::string> neighbours() const;
};

} // namespace Guavalock

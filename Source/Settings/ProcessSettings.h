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

/// What a daemon process is told when it starts: who and where it is, and whom it talks to.
struct ProcessSettings {
    std::string vm;
    std::string dataCentre;
    std::size_t workers = 0; ///< Zero means one for each processor.
    Endpoint callers;
    Endpoint administration;
    Endpoint peerListen;
    std::string peerKey;
    std::vector<std::string> acceptedPeerKeys; ///< Also taken from peers, while a key is replaced.
    std::vector<PeerSettings> peers; ///< Every daemon of the deployment; this one may be among them.
    std::string platformPlugin = "http";
    Endpoint platform;
    LimitSettings limits;

    static const FieldTable<ProcessSettings> &fields();

    /// Returns the names of the daemons in this daemon's data centre, itself included, in order and without repeats.
    std::vector<std::string> neighbours() const;
};

} // namespace Guavalock

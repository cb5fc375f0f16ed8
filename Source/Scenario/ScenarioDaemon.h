#pragma once

#include "Decisions/PoisonLedger.h"
#include "Decisions/ProbeRateLimiter.h"
#include "Kernel/Clock.h"
#include "Tables/TargetTable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Guavalock
{

/// Decision state of a simulated daemon, built from the same classes as the real daemon.
struct ScenarioDaemon {
    ScenarioDaemon(const TargetPool::DaemonLocation &location, std::uint64_t seed);

    std::string name;
    std::string dataCentre;
    TargetTable targets;
    PoisonLedger poison;
    ProbeRateLimiter probes;
    std::set<std::string> pendingProbes; ///< Targets with a probe in flight.
    std::map<std::string, std::uint64_t> knownEpoch; ///< Cold epoch of the latest load report, keyed by target.
    bool up = true;
    bool partitioned = false; ///< Whether the daemon is cut off from the other data centres.
};

} // namespace Guavalock

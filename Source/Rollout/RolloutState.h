#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <string>

namespace Guavalock
{

/// What the coordinator of a rollout tells all daemons.
struct RolloutState {
    enum class Phase : std::uint8_t {
        Observing, ///< Daemons stay within their credit.
        Moving, ///< The share applies while it is confirmed.
        Completed,
        RolledBack, ///< Also while the verdict is known, but not yet written to the store.
    };

    std::string service;
    std::string version; ///< Of the order to which this applies.
    std::string coordinator; ///< Incarnation of the sending daemon.
    std::uint64_t number = 0; ///< Rises with each message of a coordinator.
    Phase phase = Phase::Observing;
    double share = 0; ///< Of the service's requests that go to the new version, from 0 to 1.
    Clock::TimePoint orderStart; ///< As early as the coordinator knows.

    bool operator==(const RolloutState &) const = default;
};

} // namespace Guavalock

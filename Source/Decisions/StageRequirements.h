#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// The properties of a stage call that determine its target and its place in the slot queue.
struct StageRequirements {
    std::string organisation;
    std::size_t weight = 1; ///< The organisation's weight when calls wait for the pool.
    std::uint64_t affinity = 0; ///< Hash of the prompt prefix; zero for none.
    bool urgent = false; ///< Part of an interactive request, which precedes other classes.
    bool suspect = false; ///< The request was in flight when a target crashed.
    Clock::TimePoint deadline{};
    std::vector<std::uint64_t>
        avoidedTargets; ///< Name hashes of targets that already failed this stage; used only if no other has capacity.
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// What the choice of a target and of the next waiting call need to know of a stage call.
struct StageDemand {
    std::string organisation;
    std::size_t weight = 1; ///< The organisation's share of a full pool.
    std::uint64_t affinity = 0; ///< Hash of the prompt prefix; zero for none.
    bool urgent = false; ///< An interactive request, before those of other classes.
    bool suspect = false; ///< Was in flight when a target died.
    Clock::TimePoint deadline{};
    std::vector<std::uint64_t> avoid; ///< Hashes of the names of targets that failed this stage before; taken only if no other has room.
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// The smallest unit of work of a stage. One target processes it in one call, batched with other pieces.
struct Piece {
    std::uint64_t number = 0; ///< Assigned by the submitting daemon and unique within it.
    std::string requestId;
    std::size_t stage = 0;
    std::size_t index = 0; ///< Index within the stage.
    std::string service;
    std::string key; ///< Key of the source data, as given with the request; set only when the piece has no inputs.
    std::vector<std::string> inputs; ///< Handles of the results that the piece reads.
    std::string nearDataCentre; ///< Data centre in which processing the piece transfers the least data; empty for no preference.
    std::uint64_t nearBytes = 0; ///< Bytes transferred between data centres when it is processed elsewhere.
    std::uint64_t resultBytes = 0; ///< Approximate size of the result.
    bool refusable
        = false; ///< Whether the piece may be refused: it is among the first of its request, which was admitted without a backlog.
    unsigned rank = 0; ///< Priority of the request; zero is the highest.
    Clock::TimePoint softDeadline; ///< Soft deadline: a later result makes the request miss its objective.
    Clock::TimePoint deadline; ///< Hard deadline: the result of a call that starts later is useless.
};

} // namespace Guavalock

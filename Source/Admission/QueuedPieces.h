#pragma once

#include <cstddef>
#include <vector>

namespace Guavalock
{

/// Counts the queued pieces of one service by rank.
struct QueuedPieces {
    static constexpr std::size_t rankCount = 4; ///< Ranks that are told apart. Higher ones count as the last.

    std::vector<std::size_t> first; ///< Pieces in the group that is processed first.
    std::vector<std::size_t> late; ///< Pieces that can't meet their objective and are passed by those that can.
};

} // namespace Guavalock

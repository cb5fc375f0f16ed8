#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// Batching parameters of a stage service. They apply to each of its targets.
struct BatchTerms {
    std::size_t batchLimit = 1; ///< Maximum number of pieces in one call.
    std::chrono::microseconds callTime{0}; ///< Fixed processing time of a call, independent of its batch size.
    std::chrono::microseconds pieceTime{0}; ///< Additional processing time per piece, averaged over stages.
    std::uint64_t roomBytes = 0; ///< Storage for results that have not been freed.
    std::chrono::milliseconds resultLife{0}; ///< How long a target keeps a result after the end of the call, unless it is freed earlier.
};

} // namespace Guavalock

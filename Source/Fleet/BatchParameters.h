#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// Batching parameters of a stage service. They apply to each of its targets.
struct BatchParameters {
    std::size_t maxBatchSize = 1; ///< Maximum number of pieces in one call.
    std::chrono::microseconds fixedCallTime{0}; ///< Fixed processing time of a call, independent of its batch size.
    /// Additional processing time per piece, averaged over the stages that the service processes.
    std::chrono::microseconds perPieceTime{0};
    std::uint64_t resultCapacityBytes = 0; ///< Storage for results that have not been freed.
    std::chrono::milliseconds resultLifetime{
        0}; ///< How long a target keeps a result after the end of the call, unless it is freed earlier.
};

} // namespace Guavalock

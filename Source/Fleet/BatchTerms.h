#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// What one target of a stage service takes.
struct BatchTerms {
    std::size_t batchLimit = 1; ///< Pieces in one call.
    std::chrono::microseconds callTime{0}; ///< Of a call, whatever it carries.
    std::chrono::microseconds pieceTime{0}; ///< Of each piece, on average over stages.
    std::uint64_t roomBytes = 0; ///< For results that have not been freed.
    std::chrono::milliseconds resultLife{0}; ///< After the end of a call, unless freed earlier.
};

} // namespace Guavalock

#pragma once

#include <cstdint>
#include <string>

namespace Guavalock
{

/// The outcome of a piece.
struct PieceResult {
    enum class Outcome : std::uint8_t {
        Completed,
        DeadlineExceeded, ///< The deadline passed before the piece was processed.
        InputsMissing, ///< An input no longer exists and must be recomputed.
        Refused, ///< The result would be too late, given the queue; no work was done.
        OwnerChanged, ///< Another daemon owns the service now; resubmit the piece there.
        InputsRead, ///< Intermediate notice: the target has read the inputs, and the result follows.
        Failed, ///< Processing failed, after retries as far as the retry budget allowed.
    };

    std::uint64_t number = 0; ///< Number of the piece.
    Outcome outcome = Outcome::Failed;
    std::string handle; ///< Handle of the result.
    std::string dataCentre; ///< Data centre in which the result is stored.
};

} // namespace Guavalock

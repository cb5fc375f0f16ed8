#pragma once

#include <cstdint>
#include <string>

namespace Guavalock
{

/// What became of a piece.
struct PieceResult {
    enum class End : std::uint8_t {
        Made,
        Late, ///< Its deadline passed before its turn.
        InputsGone, ///< An input no longer exists and has to be made again.
        Refused, ///< It would come too late after what waits already; nothing was made.
        Moved, ///< Another daemon batches the service now; ask there.
        Taken, ///< Its target has read its inputs; the result follows.
        Failed, ///< It could not be made, after repeats where the budget allowed them.
    };

    std::uint64_t number = 0; ///< Of the piece.
    End end = End::Failed;
    std::string handle; ///< Of the result.
    std::string dataCentre; ///< Where the result lies.
};

} // namespace Guavalock

#pragma once

#include "Batching/Piece.h"
#include "Decisions/AvailabilityStatement.h"
#include "Settings/Endpoint.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// Encodes calls to the targets of stage services and decodes their responses.
class StageCodec
{
public:
    struct PieceResponse {
        enum class Outcome {
            Completed,
            DeadlineExceeded,
            InputsMissing,
            OutOfStorage,
            Failed,
        };
        Outcome outcome = Outcome::Failed;
        std::string handle;
    };

    virtual ~StageCodec() = default;

    /// Returns the request header that names the expected target. Any other target rejects the call.
    virtual std::pair<std::string, std::string> expectedTargetHeader(const std::string &targetId) const = 0;

    virtual std::string batchPath() const = 0;
    virtual std::string encodeBatch(const std::vector<Piece> &pieces, Clock::TimePoint now) const = 0;

    /// Returns the outcome of each piece in request order, or nothing when the response is malformed.
    virtual std::optional<std::vector<PieceResponse>> parseBatchResponse(const std::string &body, std::size_t pieceCount) const = 0;

    /// Returns what a target states about further calls in the headers of any response.
    virtual AvailabilityStatement parseAvailability(unsigned status,
                                                    const std::vector<std::pair<std::string, std::string>> &headers) const = 0;

    virtual std::string freePath() const = 0;
    virtual std::string encodeFree(const std::vector<std::string> &handles) const = 0;

    /// Returns the address of the target that stores a result.
    virtual std::optional<Endpoint> storingTarget(const std::string &handle) const = 0;
};

} // namespace Guavalock

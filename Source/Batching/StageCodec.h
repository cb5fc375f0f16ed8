#pragma once

#include "Batching/Piece.h"
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
    struct Made {
        enum class End {
            Made,
            Late,
            InputsGone,
            NoRoom,
            Failed,
        };
        End end = End::Failed;
        std::string handle;
    };

    virtual ~StageCodec() = default;

    /// Returns the request header that names the expected target. Any other target rejects the call.
    virtual std::pair<std::string, std::string> expect(const std::string &targetId) const = 0;

    virtual std::string batchPath() const = 0;
    virtual std::string batchBody(const std::vector<Piece> &pieces, Clock::TimePoint now) const = 0;

    /// Returns the outcome of each piece in request order, or nothing when the response is malformed.
    virtual std::optional<std::vector<Made>> batchAnswer(const std::string &body, std::size_t pieces) const = 0;

    virtual std::string freePath() const = 0;
    virtual std::string freeBody(const std::vector<std::string> &handles) const = 0;

    /// Returns the address of the target that stores a result.
    virtual std::optional<Endpoint> maker(const std::string &handle) const = 0;
};

} // namespace Guavalock

#pragma once

#include "Batching/Piece.h"
#include "Batching/PieceResult.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// Sends pieces and results to other daemons. Thread-safe. Messages that cannot be sent are dropped.
class PieceTransport
{
public:
    virtual ~PieceTransport() = default;

    /// Returns false when the daemon is not connected.
    virtual bool sendPieces(const std::string &vm, const std::vector<Piece> &pieces) = 0;
    virtual bool sendResults(const std::string &vm, const std::vector<PieceResult> &results) = 0;
    virtual void sendCancel(const std::string &vm, const std::string &requestId) = 0;
    virtual void sendRelease(const std::string &vm, const std::vector<std::string> &handles) = 0;
};

} // namespace Guavalock

#pragma once

#include "Admission/ServiceBacklog.h"
#include "Batching/Piece.h"
#include "Batching/PieceResult.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// Sends pieces and results to other daemons, which are identified by their Vm names. Thread-safe.
///
/// Pieces and results for a daemon that is not connected remain with the caller; a request to cancel or free that cannot be sent is
/// dropped.
class PieceTransport
{
public:
    virtual ~PieceTransport() = default;

    /// Returns false, without sending anything, when the daemon is not connected. So does sendResults().
    virtual bool sendPieces(const std::string &vm, const std::vector<Piece> &pieces) = 0;
    virtual bool sendResults(const std::string &vm, const std::vector<PieceResult> &results, const std::vector<ServiceBacklog> &backlogs)
        = 0;
    virtual void sendCancel(const std::string &vm, const std::string &requestId) = 0;
    virtual void sendFree(const std::string &vm, const std::vector<std::string> &handles) = 0;
};

} // namespace Guavalock

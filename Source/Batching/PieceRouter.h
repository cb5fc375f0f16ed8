#pragma once

#include "Batching/PendingPieces.h"
#include "Batching/PieceResult.h"
#include "Kernel/RankedMutex.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class BatchDispatcher;
class PieceTransport;
class FleetMembership;

/// Routes pieces of this daemon's requests to the daemons that own their services, and routes results back. Lock rank: Requests.
///
/// A piece that is not answered in time, or whose owner is unreachable, is resubmitted to the current owner of its service. Owners are
/// identified by their Vm names. The first result is used.
class PieceRouter
{
public:
    PieceRouter(const Clock &clock, FleetMembership &membership, PieceTransport &transport, BatchDispatcher &local);

    /// Assigns a number to each piece of a request and sends the pieces to their owners.
    void submit(const std::shared_ptr<PendingPieces> &pending, std::vector<Piece> pieces);

    /// Resubmits pieces that were not answered in time or whose owner is unreachable to the current owner, which may be the same daemon.
    void resubmitLost(const std::shared_ptr<PendingPieces> &pending);

    /// Delivers results from an owner to the requests that wait for them. Results without a waiting request are freed.
    void deliver(const std::string &owner, std::vector<PieceResult> results);

    /// Cancels the outstanding pieces of a request at all daemons that were sent them.
    void abandon(const std::shared_ptr<PendingPieces> &pending, const std::string &requestId);

    /// Frees results, given by the service that produced them.
    void free(const std::map<std::string, std::vector<std::string>> &handles);

    /// Frees results through the daemon that batched their pieces.
    void freeAt(const std::string &owner, std::vector<std::string> handles);

private:
    /// Sends submitted pieces to their owner, or if it cannot be reached to a substitute that is linked, which may be this daemon.
    void send(const std::shared_ptr<PendingPieces> &pending, const std::string &owner, const std::vector<Piece> &pieces);

    const Clock &m_clock;
    FleetMembership &m_membership;
    PieceTransport &m_transport;
    BatchDispatcher &m_local;
    RankedMutex m_mutex{LockRank::Requests};
    std::map<std::uint64_t, std::shared_ptr<PendingPieces>> m_pending; ///< By piece number.
    std::atomic<std::uint64_t> m_lastNumber{0};
};

} // namespace Guavalock

#pragma once

#include "Batching/PieceResult.h"
#include "Batching/PieceWait.h"
#include "Kernel/RankedMutex.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class BatchOwner;
class PieceTransport;
class Roster;

/// Takes the pieces of this daemon's requests to the daemons that batch them, and results back. Rank Requests.
///
/// A piece whose owner has gone silent is sent to the next one; the first result counts.
class PieceRouter
{
public:
    PieceRouter(const Clock &clock, Roster &roster, PieceTransport &transport, BatchOwner &local);

    /// Sends pieces on behalf of a request. Gives each a number.
    void submit(const std::shared_ptr<PieceWait> &wait, std::vector<Piece> pieces);

    /// Sends again what waits at an owner that can no longer be expected to answer.
    void resubmitLost(const std::shared_ptr<PieceWait> &wait);

    /// Hands results that a daemon had made to the requests that wait for them. Results that nobody waits for are freed.
    void deliver(const std::string &owner, std::vector<PieceResult> results);

    /// The request waits no longer: its pieces are cancelled.
    void abandon(const std::shared_ptr<PieceWait> &wait, const std::string &requestId);

    /// Frees results, by the services that made them.
    void release(const std::map<std::string, std::vector<std::string>> &handles);

    /// Frees results through the daemon that had them made.
    void releaseAt(const std::string &owner, std::vector<std::string> handles);

private:
    void send(const std::string &owner, const std::vector<Piece> &pieces);

    const Clock &m_clock;
    Roster &m_roster;
    PieceTransport &m_transport;
    BatchOwner &m_local;
    RankedMutex m_mutex{LockRank::Requests};
    std::map<std::uint64_t, std::shared_ptr<PieceWait>> m_waits; ///< By the number of the piece.
    std::atomic<std::uint64_t> m_lastNumber{0};
};

} // namespace Guavalock

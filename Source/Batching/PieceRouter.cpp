#include "Batching/PieceRouter.h"

#include "Batching/BatchDispatcher.h"
#include "Batching/PieceTransport.h"
#include "Decisions/Hash.h"
#include "Fleet/FleetMembership.h"

#include <set>

namespace Guavalock
{

namespace
{

/// A live owner that has not answered within this time is assumed to have lost the piece.
constexpr std::chrono::milliseconds ownerTimeout{4'000};

} // namespace

PieceRouter::PieceRouter(const Clock &clock, FleetMembership &membership, PieceTransport &transport, BatchDispatcher &local)
    : m_clock(clock)
    , m_membership(membership)
    , m_transport(transport)
    , m_local(local)
    , m_lastNumber(Hash::of(membership.self().incarnation)) // Results requested by an earlier incarnation match no piece of this one.
{
}

void PieceRouter::send(const std::shared_ptr<PendingPieces> &pending, const std::string &owner, const std::vector<Piece> &pieces)
{
    const std::string &self = m_membership.self().vm;
    if (owner != self && m_transport.sendPieces(owner, pieces)) {
        return;
    }
    // Few daemons stand in for an owner that is not linked. If each batched its own pieces, they would refuse each other the targets.
    std::string substitute = m_membership.linkedOwner(pieces.front().service, m_clock.now());
    if (substitute == owner || (substitute != self && !m_transport.sendPieces(substitute, pieces))) {
        substitute = self;
    }
    for (const Piece &it : pieces) {
        pending->submissions()[it.number].owner = substitute;
    }
    if (substitute == self) {
        m_local.submit(self, pieces);
    }
}

void PieceRouter::submit(const std::shared_ptr<PendingPieces> &pending, std::vector<Piece> pieces)
{
    const Clock::TimePoint now = m_clock.now();
    std::map<std::string, std::vector<Piece>> byOwner;
    {
        const std::scoped_lock lock(m_mutex);
        for (Piece &it : pieces) {
            it.number = ++m_lastNumber;
            m_pending[it.number] = pending;
        }
    }
    for (Piece &it : pieces) {
        const std::string owner = m_membership.owner(it.service, now);
        pending->submissions()[it.number] = {it, owner, now, {}};
        byOwner[owner].push_back(std::move(it));
    }
    for (const auto &[owner, list] : byOwner) {
        send(pending, owner, list);
    }
}

void PieceRouter::resubmitLost(const std::shared_ptr<PendingPieces> &pending)
{
    const Clock::TimePoint now = m_clock.now();
    std::map<std::string, std::vector<Piece>> byOwner;
    for (auto &[number, submission] : pending->submissions()) {
        if (m_membership.reachable(submission.owner, now) && now - submission.lastSent < ownerTimeout) {
            continue;
        }
        submission.formerOwners.insert(submission.owner);
        submission.owner = m_membership.owner(submission.piece.service, now);
        submission.piece.refusable = false; // Its request has been admitted, and a refusal would come late.
        submission.lastSent = now;
        byOwner[submission.owner].push_back(submission.piece);
    }
    for (const auto &[owner, list] : byOwner) {
        send(pending, owner, list);
    }
}

void PieceRouter::deliver(const std::string &owner, std::vector<PieceResult> results)
{
    std::map<std::shared_ptr<PendingPieces>, std::vector<PieceResult>> byRequest;
    std::vector<std::string> unwanted;
    {
        const std::scoped_lock lock(m_mutex);
        for (PieceResult &it : results) {
            const auto pending = m_pending.find(it.number);
            if (pending == m_pending.end()) {
                if (!it.handle.empty()) {
                    unwanted.push_back(std::move(it.handle));
                }
                continue;
            }
            const bool isFinal = it.outcome != PieceResult::Outcome::InputsRead;
            byRequest[pending->second].push_back(std::move(it));
            if (isFinal) {
                m_pending.erase(pending);
            }
        }
    }
    for (auto &[pending, list] : byRequest) {
        pending->deliver(owner, std::move(list));
    }
    if (!unwanted.empty()) {
        freeAt(owner, std::move(unwanted));
    }
}

void PieceRouter::abandon(const std::shared_ptr<PendingPieces> &pending, const std::string &requestId)
{
    std::set<std::string> owners;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[number, submission] : pending->submissions()) {
            m_pending.erase(number);
            owners.insert(submission.owner);
            owners.insert(submission.formerOwners.begin(), submission.formerOwners.end());
        }
    }
    pending->submissions().clear();
    const std::string &self = m_membership.self().vm;
    for (const std::string &it : owners) {
        if (it == self) {
            m_local.cancel(self, requestId);
        } else {
            m_transport.sendCancel(it, requestId);
        }
    }
}

void PieceRouter::free(const std::map<std::string, std::vector<std::string>> &handles)
{
    const Clock::TimePoint now = m_clock.now();
    for (const auto &[service, list] : handles) {
        freeAt(m_membership.owner(service, now), list);
    }
}

void PieceRouter::freeAt(const std::string &owner, std::vector<std::string> handles)
{
    if (owner == m_membership.self().vm) {
        m_local.free(std::move(handles));
    } else {
        m_transport.sendFree(owner, handles);
    }
}

} // namespace Guavalock

#include "Batching/PieceRouter.h"

#include "Batching/BatchOwner.h"
#include "Batching/PieceTransport.h"
#include "Decisions/Hash.h"
#include "Mesh/Roster.h"

#include <set>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds answerLimit{4'000}; ///< A live owner that has not answered within this time has lost the piece.

} // namespace

PieceRouter::PieceRouter(const Clock &clock, Roster &roster, PieceTransport &transport, BatchOwner &local)
    : m_clock(clock)
    , m_roster(roster)
    , m_transport(transport)
    , m_local(local)
    , m_lastNumber(Hash::of(roster.self().incarnation)) // Results requested by an earlier incarnation match no piece of this one.
{
}

void PieceRouter::send(const std::string &owner, const std::vector<Piece> &pieces)
{
    const std::string &self = m_roster.self().vm;
    if (owner == self || !m_transport.sendPieces(owner, pieces)) {
        m_local.submit(self, pieces);
    }
}

void PieceRouter::submit(const std::shared_ptr<PieceWait> &wait, std::vector<Piece> pieces)
{
    const Clock::TimePoint now = m_clock.now();
    std::map<std::string, std::vector<Piece>> byOwner;
    {
        const std::scoped_lock lock(m_mutex);
        for (Piece &it : pieces) {
            it.number = ++m_lastNumber;
            m_waits[it.number] = wait;
        }
    }
    for (Piece &it : pieces) {
        const std::string owner = m_roster.owner(it.service, now);
        wait->asked()[it.number] = {it, owner, now};
        byOwner[owner].push_back(std::move(it));
    }
    for (const auto &[owner, list] : byOwner) {
        send(owner, list);
    }
}

void PieceRouter::resubmitLost(const std::shared_ptr<PieceWait> &wait)
{
    const Clock::TimePoint now = m_clock.now();
    std::map<std::string, std::vector<Piece>> byOwner;
    for (auto &[number, asked] : wait->asked()) {
        if (m_roster.reachable(asked.owner, now) && now - asked.sent < answerLimit) {
            continue;
        }
        asked.owner = m_roster.owner(asked.piece.service, now);
        asked.sent = now;
        byOwner[asked.owner].push_back(asked.piece);
    }
    for (const auto &[owner, list] : byOwner) {
        send(owner, list);
    }
}

void PieceRouter::deliver(const std::string &owner, std::vector<PieceResult> results)
{
    std::map<std::shared_ptr<PieceWait>, std::vector<PieceResult>> byWait;
    std::vector<std::string> unwanted;
    {
        const std::scoped_lock lock(m_mutex);
        for (PieceResult &it : results) {
            const auto wait = m_waits.find(it.number);
            if (wait == m_waits.end()) {
                if (!it.handle.empty()) {
                    unwanted.push_back(std::move(it.handle));
                }
                continue;
            }
            const bool last = it.end != PieceResult::End::Taken;
            byWait[wait->second].push_back(std::move(it));
            if (last) {
                m_waits.erase(wait);
            }
        }
    }
    for (auto &[wait, list] : byWait) {
        wait->deliver(owner, std::move(list));
    }
    if (!unwanted.empty()) {
        releaseAt(owner, std::move(unwanted));
    }
}

void PieceRouter::abandon(const std::shared_ptr<PieceWait> &wait, const std::string &requestId)
{
    std::set<std::string> owners;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[number, asked] : wait->asked()) {
            m_waits.erase(number);
            owners.insert(asked.owner);
        }
    }
    wait->asked().clear();
    const std::string &self = m_roster.self().vm;
    for (const std::string &it : owners) {
        if (it == self) {
            m_local.cancel(self, requestId);
        } else {
            m_transport.sendCancel(it, requestId);
        }
    }
}

void PieceRouter::release(const std::map<std::string, std::vector<std::string>> &handles)
{
    const Clock::TimePoint now = m_clock.now();
    for (const auto &[service, list] : handles) {
        releaseAt(m_roster.owner(service, now), list);
    }
}

void PieceRouter::releaseAt(const std::string &owner, std::vector<std::string> handles)
{
    if (owner == m_roster.self().vm) {
        m_local.release(std::move(handles));
    } else {
        m_transport.sendRelease(owner, handles);
    }
}

} // namespace Guavalock

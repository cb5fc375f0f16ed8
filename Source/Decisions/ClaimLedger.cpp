#include "Decisions/ClaimLedger.h"

namespace Guavalock
{

ClaimLedger::ClaimLedger(std::chrono::seconds lifetime)
    : m_lifetime(lifetime)
{
}

ClaimLedger::Verdict ClaimLedger::apply(const Claim &claim, Clock::WallTime recorded)
{
    removeExpired(recorded);
    if (claim.issued + m_lifetime <= recorded) {
        return Verdict::Expired;
    }
    const auto [it, inserted] = m_claims.try_emplace(claim.key, AcceptedClaim{claim.id, recorded});
    if (!inserted) {
        return it->second.id == claim.id ? Verdict::Won : Verdict::Lost;
    }
    m_claimOrder.emplace_back(claim.key, claim.id);
    return Verdict::Won;
}

void ClaimLedger::release(const std::string &key, const std::string &id)
{
    const auto it = m_claims.find(key);
    if (it != m_claims.end() && it->second.id == id) {
        m_claims.erase(it);
    }
}

void ClaimLedger::removeExpired(Clock::WallTime now)
{
    while (!m_claimOrder.empty()) {
        const auto &[key, id] = m_claimOrder.front();
        const auto it = m_claims.find(key);
        const bool holdsKey = it != m_claims.end() && it->second.id == id;
        if (holdsKey && it->second.recorded + m_lifetime > now) {
            return;
        }
        if (holdsKey) {
            m_claims.erase(it);
        }
        m_claimOrder.pop_front();
    }
}

const std::string *ClaimLedger::claimOf(const std::string &key) const
{
    const auto it = m_claims.find(key);
    return it == m_claims.end() ? nullptr : &it->second.id;
}

std::size_t ClaimLedger::size() const
{
    return m_claims.size();
}

} // namespace Guavalock

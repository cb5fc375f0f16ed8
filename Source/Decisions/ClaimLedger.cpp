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
    const auto [it, inserted] = m_holders.try_emplace(claim.key, Holder{claim.id, recorded});
    if (!inserted) {
        return it->second.id == claim.id ? Verdict::Won : Verdict::Lost;
    }
    m_claimOrder.emplace_back(claim.key, claim.id);
    return Verdict::Won;
}

void ClaimLedger::release(const std::string &key, const std::string &id)
{
    const auto it = m_holders.find(key);
    if (it != m_holders.end() && it->second.id == id) {
        m_holders.erase(it);
    }
}

void ClaimLedger::removeExpired(Clock::WallTime now)
{
    while (!m_claimOrder.empty()) {
        const auto &[key, id] = m_claimOrder.front();
        const auto it = m_holders.find(key);
        const bool holdsKey = it != m_holders.end() && it->second.id == id;
        if (holdsKey && it->second.recorded + m_lifetime > now) {
            return;
        }
        if (holdsKey) {
            m_holders.erase(it);
        }
        m_claimOrder.pop_front();
    }
}

const std::string *ClaimLedger::holder(const std::string &key) const
{
    const auto it = m_holders.find(key);
    return it == m_holders.end() ? nullptr : &it->second.id;
}

std::size_t ClaimLedger::size() const
{
    return m_holders.size();
}

} // namespace Guavalock

#include "Decisions/ClaimLedger.h"

namespace Guavalock
{

ClaimLedger::ClaimLedger(std::chrono::seconds life)
    : m_life(life)
{
}

ClaimLedger::Verdict ClaimLedger::apply(const Claim &claim, Clock::WallTime recorded)
{
    forget(recorded);
    if (claim.issued + m_life <= recorded) {
        return Verdict::Expired;
    }
    const auto [it, fresh] = m_holders.try_emplace(claim.key, Holder{claim.id, recorded});
    if (!fresh) {
        return it->second.id == claim.id ? Verdict::Won : Verdict::Lost;
    }
    m_order.emplace_back(claim.key, claim.id);
    return Verdict::Won;
}

void ClaimLedger::release(const std::string &key, const std::string &id)
{
    const auto it = m_holders.find(key);
    if (it != m_holders.end() && it->second.id == id) {
        m_holders.erase(it);
    }
}

void ClaimLedger::forget(Clock::WallTime now)
{
    while (!m_order.empty()) {
        const auto &[key, id] = m_order.front();
        const auto it = m_holders.find(key);
        const bool holds = it != m_holders.end() && it->second.id == id;
        if (holds && it->second.recorded + m_life > now) {
            return;
        }
        if (holds) {
            m_holders.erase(it);
        }
        m_order.pop_front();
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

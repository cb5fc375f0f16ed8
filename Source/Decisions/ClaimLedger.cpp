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
    m_order.push_back(claim.key);
    return Verdict::Won;
}

void ClaimLedger::forget(Clock::WallTime now)
{
    while (!m_order.empty()) {
        const auto it = m_holders.find(m_order.front());
        if (it->second.recorded + m_life > now) {
            return;
        }
        m_holders.erase(it);
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

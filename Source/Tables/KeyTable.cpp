#include "Tables/KeyTable.h"

#include "Flow/PipelineAnswer.h"

namespace Guavalock
{

KeyTable::KeyTable(std::chrono::seconds life)
    : m_ledger(life)
{
}

KeyTable::~KeyTable() = default;

KeyTable::Standing KeyTable::begin(const std::string &key, const std::string &claimId, Decided decided,
                                   std::shared_ptr<const PipelineAnswer> &answer)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_local.find(key);
    if (it != m_local.end()) {
        if (it->second.answer) {
            answer = it->second.answer;
            return Standing::Answered;
        }
        return Standing::InProgress;
    }
    if (m_ledger.holder(key) != nullptr) {
        return Standing::Elsewhere;
    }
    m_local[key] = Local{claimId, std::move(decided), false, false, false, nullptr};
    return Standing::Free;
}

bool KeyTable::apply(const ClaimLedger::Claim &claim, Clock::WallTime recorded)
{
    Decided decided;
    ClaimLedger::Verdict verdict = ClaimLedger::Verdict::Lost;
    bool release = false;
    {
        const std::scoped_lock lock(m_mutex);
        verdict = m_ledger.apply(claim, recorded);
        const auto it = m_local.find(claim.key);
        if (it == m_local.end() || it->second.claimId != claim.id || it->second.running || it->second.releasing || it->second.answer) {
            return false;
        }
        release = it->second.abandoned && verdict == ClaimLedger::Verdict::Won;
        decided = std::move(it->second.decided);
        if (release) {
            it->second.releasing = true;
        } else if (verdict == ClaimLedger::Verdict::Won) {
            it->second.running = true;
        } else {
            m_local.erase(it);
        }
    }
    if (decided && !release) {
        decided(verdict);
    }
    return release;
}

void KeyTable::applyRelease(const std::string &key, const std::string &claimId)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.release(key, claimId);
    const auto it = m_local.find(key);
    if (it != m_local.end() && it->second.claimId == claimId && it->second.releasing) {
        m_local.erase(it);
    }
}

bool KeyTable::abandon(const std::string &key, bool certain)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_local.find(key);
    if (it == m_local.end()) {
        return false;
    }
    Local &local = it->second;
    if (local.running) {
        local.running = false;
        local.releasing = true;
        return true;
    }
    if (certain) {
        m_local.erase(it);
    } else {
        local.abandoned = true;
    }
    return false;
}

std::optional<std::string> KeyTable::finished(const std::string &key, std::shared_ptr<const PipelineAnswer> answer)
{
    const std::scoped_lock lock(m_mutex);
    Local &local = m_local[key];
    local.running = false;
    if (!answer->output && answer->refusal.run == RunState::No) {
        local.releasing = true;
        return local.claimId;
    }
    local.answer = std::move(answer);
    m_kept.push_back(key);
    forgetOldest();
    return std::nullopt;
}

void KeyTable::forgetOldest()
{
    while (m_kept.size() > maxKept) {
        m_local.erase(m_kept.front());
        m_kept.pop_front();
    }
}

std::size_t KeyTable::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_ledger.size();
}

} // namespace Guavalock

#include "Tables/KeyTable.h"

#include "Flow/PipelineResponse.h"

namespace Guavalock
{

KeyTable::KeyTable(std::chrono::seconds keyLifetime)
    : m_ledger(keyLifetime)
{
}

KeyTable::~KeyTable() = default;

KeyTable::Status KeyTable::beginClaim(const std::string &key, const std::string &claimId, ClaimCallback onDecided,
                                      std::shared_ptr<const PipelineResponse> &answer)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_localKeys.find(key);
    if (it != m_localKeys.end()) {
        if (it->second.answer) {
            answer = it->second.answer;
            return Status::Answered;
        }
        return Status::InProgress;
    }
    if (m_ledger.claimOf(key) != nullptr) {
        return Status::HeldElsewhere;
    }
    m_localKeys[key] = LocalKey{claimId, std::move(onDecided), false, false, false, nullptr};
    return Status::Free;
}

bool KeyTable::applyClaim(const ClaimLedger::Claim &claim, Clock::WallTime recorded)
{
    ClaimCallback onDecided;
    ClaimLedger::Verdict verdict = ClaimLedger::Verdict::Lost;
    bool mustRelease = false;
    {
        const std::scoped_lock lock(m_mutex);
        verdict = m_ledger.apply(claim, recorded);
        const auto it = m_localKeys.find(claim.key);
        if (it == m_localKeys.end() || it->second.claimId != claim.id || it->second.running || it->second.releasing || it->second.answer) {
            return false;
        }
        mustRelease = it->second.abandoned && verdict == ClaimLedger::Verdict::Won;
        onDecided = std::move(it->second.onDecided);
        if (mustRelease) {
            it->second.releasing = true;
        } else if (verdict == ClaimLedger::Verdict::Won) {
            it->second.running = true;
        } else {
            m_localKeys.erase(it);
        }
    }
    if (onDecided && !mustRelease) {
        onDecided(verdict);
    }
    return mustRelease;
}

void KeyTable::applyRelease(const std::string &key, const std::string &claimId)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.release(key, claimId);
    const auto it = m_localKeys.find(key);
    if (it != m_localKeys.end() && it->second.claimId == claimId && it->second.releasing) {
        m_localKeys.erase(it);
    }
}

bool KeyTable::abandonClaim(const std::string &key, bool neverAppended)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_localKeys.find(key);
    if (it == m_localKeys.end()) {
        return false;
    }
    LocalKey &localKey = it->second;
    if (localKey.running) {
        localKey.running = false;
        localKey.releasing = true;
        return true;
    }
    if (neverAppended) {
        m_localKeys.erase(it);
    } else {
        localKey.abandoned = true;
    }
    return false;
}

std::optional<std::string> KeyTable::completeRun(const std::string &key, std::shared_ptr<const PipelineResponse> answer)
{
    const std::scoped_lock lock(m_mutex);
    LocalKey &localKey = m_localKeys[key];
    localKey.running = false;
    if (!answer->output && answer->refusal.run == RunState::No) {
        localKey.releasing = true;
        return localKey.claimId;
    }
    localKey.answer = std::move(answer);
    m_storedAnswers.push_back(key);
    evictOldestAnswers();
    return std::nullopt;
}

void KeyTable::evictOldestAnswers()
{
    while (m_storedAnswers.size() > maxStoredAnswers) {
        m_localKeys.erase(m_storedAnswers.front());
        m_storedAnswers.pop_front();
    }
}

std::size_t KeyTable::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_ledger.size();
}

} // namespace Guavalock

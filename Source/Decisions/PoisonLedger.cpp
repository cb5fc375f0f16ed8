#include "Decisions/PoisonLedger.h"

#include <algorithm>

namespace Guavalock
{

PoisonLedger::PoisonLedger(std::chrono::seconds quarantine)
    : m_quarantine(quarantine)
{
}

std::size_t PoisonLedger::recordDeath(std::uint64_t fingerprint, Clock::TimePoint now)
{
    const std::size_t n = crashCount(fingerprint, now) + 1;
    m_records[fingerprint] = {n, now + m_quarantine};
    return n;
}

void PoisonLedger::mergePeerDeaths(std::uint64_t fingerprint, std::size_t peerCrashes, Clock::TimePoint now)
{
    Record &record = m_records[fingerprint];
    record.crashes = std::max(crashCount(fingerprint, now), peerCrashes);
    record.until = now + m_quarantine;
}

std::size_t PoisonLedger::crashCount(std::uint64_t fingerprint, Clock::TimePoint now) const
{
    const auto it = m_records.find(fingerprint);
    return it == m_records.end() || it->second.until <= now ? 0 : it->second.crashes;
}

bool PoisonLedger::isSuspect(std::uint64_t fingerprint, Clock::TimePoint now) const
{
    return crashCount(fingerprint, now) > 0;
}

bool PoisonLedger::isQuarantined(std::uint64_t fingerprint, Clock::TimePoint now) const
{
    return crashCount(fingerprint, now) >= crashesToQuarantine;
}

void PoisonLedger::clearSuspect(std::uint64_t fingerprint)
{
    const auto it = m_records.find(fingerprint);
    if (it != m_records.end() && it->second.crashes < crashesToQuarantine) {
        m_records.erase(it);
    }
}

void PoisonLedger::removeExpired(Clock::TimePoint now)
{
    std::erase_if(m_records, [now](const auto &it) { return it.second.until <= now; });
}

std::size_t PoisonLedger::size() const
{
    return m_records.size();
}

} // namespace Guavalock

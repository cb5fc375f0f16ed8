#include "Tables/PoisonTable.h"

namespace Guavalock
{

namespace
{

constexpr std::chrono::seconds quarantineTime{600};

} // namespace

PoisonTable::PoisonTable()
    : m_ledger(quarantineTime)
{
}

std::size_t PoisonTable::recordDeath(std::uint64_t fingerprint, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.removeExpired(now);
    return m_ledger.recordDeath(fingerprint, now);
}

void PoisonTable::mergePeerDeaths(std::uint64_t fingerprint, std::size_t crashes, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.removeExpired(now);
    m_ledger.mergePeerDeaths(fingerprint, crashes, now);
}

void PoisonTable::clearSuspect(std::uint64_t fingerprint)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.clearSuspect(fingerprint);
}

PoisonTable::Status PoisonTable::status(std::uint64_t fingerprint, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    if (m_ledger.isQuarantined(fingerprint, now)) {
        return Status::Quarantined;
    }
    return m_ledger.isSuspect(fingerprint, now) ? Status::Suspect : Status::Clear;
}

} // namespace Guavalock

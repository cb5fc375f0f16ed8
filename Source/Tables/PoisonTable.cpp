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

std::size_t PoisonTable::died(std::uint64_t fingerprint, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.removeExpired(now);
    return m_ledger.died(fingerprint, now);
}

void PoisonTable::learned(std::uint64_t fingerprint, std::size_t deaths, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.removeExpired(now);
    m_ledger.learned(fingerprint, deaths, now);
}

void PoisonTable::answered(std::uint64_t fingerprint)
{
    const std::scoped_lock lock(m_mutex);
    m_ledger.cleared(fingerprint);
}

PoisonTable::Standing PoisonTable::standing(std::uint64_t fingerprint, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    if (m_ledger.quarantined(fingerprint, now)) {
        return Standing::Quarantined;
    }
    return m_ledger.suspect(fingerprint, now) ? Standing::Suspect : Standing::Clear;
}

} // namespace Guavalock

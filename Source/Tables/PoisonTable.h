#pragma once

#include "Decisions/PoisonLedger.h"
#include "Kernel/RankedMutex.h"

namespace Guavalock
{

/// The requests that targets died of. Rank Requests.
class PoisonTable
{
public:
    enum class Standing {
        Clear,
        Suspect,
        Quarantined,
    };

    PoisonTable();

    /// Notes a death and returns how many are known for the request.
    std::size_t died(std::uint64_t fingerprint, Clock::TimePoint now);
    void learned(std::uint64_t fingerprint, std::size_t deaths, Clock::TimePoint now);
    void answered(std::uint64_t fingerprint);
    Standing standing(std::uint64_t fingerprint, Clock::TimePoint now) const;

private:
    mutable RankedMutex m_mutex{LockRank::Requests};
    PoisonLedger m_ledger;
};

} // namespace Guavalock

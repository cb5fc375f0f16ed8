#pragma once

#include "Decisions/PoisonLedger.h"
#include "Kernel/RankedMutex.h"

namespace Guavalock
{

/// Suspected and quarantined poison requests. Lock rank: Requests.
class PoisonTable
{
public:
    enum class Status {
        Clear,
        Suspect,
        Quarantined,
    };

    PoisonTable();

    /// Records a target crash and returns the number known for the request.
    std::size_t recordDeath(std::uint64_t fingerprint, Clock::TimePoint now);

    /// Merges the number of target crashes that a peer knows of.
    void mergePeerDeaths(std::uint64_t fingerprint, std::size_t crashes, Clock::TimePoint now);

    /// Clears a suspect that was answered.
    void clearSuspect(std::uint64_t fingerprint);

    Status status(std::uint64_t fingerprint, Clock::TimePoint now) const;

private:
    mutable RankedMutex m_mutex{LockRank::Requests};
    PoisonLedger m_ledger;
};

} // namespace Guavalock

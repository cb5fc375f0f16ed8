#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>

namespace Guavalock
{

/// Tracks possible poison requests: those that were in flight when their target crashed, by the request's fingerprint.
///
/// After one target crash a request is a suspect, which is not retried at a target that already runs another suspect. After a second
/// crash the request is quarantined.
class PoisonLedger
{
public:
    static constexpr std::size_t crashesToQuarantine = 2;

    explicit PoisonLedger(std::chrono::seconds quarantine);

    /// Records a target crash and returns the number known for the request.
    std::size_t recordDeath(std::uint64_t fingerprint, Clock::TimePoint now);

    /// Merges the number of target crashes that a peer knows of; the larger number is kept.
    void mergePeerDeaths(std::uint64_t fingerprint, std::size_t crashes, Clock::TimePoint now);

    bool isSuspect(std::uint64_t fingerprint, Clock::TimePoint now) const;
    bool isQuarantined(std::uint64_t fingerprint, Clock::TimePoint now) const;

    /// Clears a suspect that has since been answered. A quarantined request stays quarantined.
    void clearSuspect(std::uint64_t fingerprint);

    /// Removes the entries whose quarantine time has passed.
    void removeExpired(Clock::TimePoint now);

    std::size_t size() const;

private:
    struct Record {
        std::size_t crashes = 0;
        Clock::TimePoint until{};
    };

    std::size_t crashCount(std::uint64_t fingerprint, Clock::TimePoint now) const;

    std::chrono::seconds m_quarantine;
    std::map<std::uint64_t, Record> m_records;
};

} // namespace Guavalock

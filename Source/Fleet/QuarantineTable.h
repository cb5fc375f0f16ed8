#pragma once

#include "Decisions/CrashLedger.h"
#include "Kernel/RankedMutex.h"

#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

class Metrics;

/// The content of requests that crashes targets, as far as this daemon knows. Lock rank: Quarantines.
class QuarantineTable
{
public:
    /// `isTrialDaemon` may take locks of a higher rank.
    QuarantineTable(CrashLedger::IsTrialDaemon isTrialDaemon, Metrics &metrics);

    /// Sets a handler that is called, without the lock, when this daemon has recorded or decided something that others should know. Must
    /// be set before the first use.
    void onNews(std::function<void()> handler);

    /// Records a crash that this daemon has seen.
    void recordCrash(const CrashReport &crash, Clock::TimePoint now);

    /// Records that a target completed a response to a request with the content.
    void recordResponse(const std::vector<std::uint64_t> &contents, Clock::TimePoint now);

    /// Merges the evidence of another daemon. Returns the part that was new.
    ContentEvidence merge(const ContentEvidence &evidence, Clock::TimePoint now);

    /// Returns how long new requests with the content are refused, or nothing if a request can be accepted.
    std::optional<Clock::Duration> refuseNew(const std::vector<std::uint64_t> &contents, Clock::TimePoint now);

    /// Returns how long the content remains in quarantine, or nothing if an accepted request can be sent.
    std::optional<Clock::Duration> refuseSend(const std::vector<std::uint64_t> &contents, Clock::TimePoint now);

    /// Returns whether a request with the content that may have run must not be repeated.
    bool refusesRepeats(const std::vector<std::uint64_t> &contents);

    /// Returns what this daemon has recorded and decided since the last call.
    ContentEvidence takeNews();

    /// Returns all evidence that is not outdated.
    ContentEvidence snapshot(Clock::TimePoint now);

private:
    /// Logs and counts the quarantines that have begun or ended. The lock must be held.
    void reportChanges(Clock::TimePoint now);

    void notify(bool hasNews) const;

    Metrics &m_metrics;
    std::function<void()> m_onNews;
    RankedMutex m_mutex{LockRank::Quarantines};
    CrashLedger m_ledger;
    unsigned m_reportedVersion = 0;
    std::map<std::uint64_t, unsigned> m_reported; ///< Quarantines by content, with their count.
};

} // namespace Guavalock

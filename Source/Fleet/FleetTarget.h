#pragma once

#include "Decisions/TargetAvailability.h"
#include "Fleet/AttemptReport.h"
#include "Fleet/RecordPosition.h"
#include "Fleet/SlidingWindowCounter.h"
#include "Fleet/TargetRecord.h"
#include "Kernel/Clock.h"

#include <cstdint>

namespace Guavalock
{

/// This daemon's view of one target: the target's record and what the outcomes of its own requests indicate.
class FleetTarget
{
public:
    FleetTarget(TargetRecord record, RecordPosition position, Clock::TimePoint now);

    /// Applies a newer record.
    void update(TargetRecord record, RecordPosition position, Clock::TimePoint now);

    /// Counts a request as sent to the target.
    void recordRequest(std::size_t promptTokens, Clock::TimePoint now);

    /// The target has started to respond to a request, so its prompt has been processed.
    void recordResponseStart(std::size_t promptTokens);

    /// Applies the outcome of an attempt. After a connection failure the target counts as cold for the given time.
    void recordAttempt(const AttemptReport &report, Clock::Duration coldTime, Clock::TimePoint now);

    /// Marks the target as cold for a time, because its record may be outdated.
    void markCold(Clock::Duration coldTime, Clock::TimePoint now);

    bool isCold(Clock::TimePoint now) const;

    /// Marks the record as missing from the store. It may reappear until the given time.
    void markMissing(Clock::TimePoint until);

    bool isMissing(Clock::TimePoint now) const;

    /// Returns whether recent requests failed or the record is missing. Other targets are preferred over a suspect one.
    bool isSuspect(Clock::TimePoint now) const;

    /// Returns the estimated load, in requests: own requests in progress, those of other daemons, and prompts being processed.
    double load(Clock::TimePoint now) const;

    /// Returns the recent success ratio, from 0 to 1.
    double health() const;

    /// Returns the moving average of the time to the first response byte, or zero if unknown.
    std::chrono::microseconds typicalLatency() const;

    /// Returns the number of requests sent within the window over which the cold request rate is limited.
    std::size_t recentRequests(Clock::TimePoint now);

    /// What the target has stated about further requests.
    TargetAvailability &availability();
    const TargetAvailability &availability() const;

    const TargetRecord &record() const;
    RecordPosition position() const;

private:
    void recordHealth(bool good);

    TargetRecord m_record;
    TargetAvailability m_availability;
    RecordPosition m_position;
    std::size_t m_outstanding = 0;
    std::size_t m_promptTokens = 0; ///< Of requests whose response has not started.
    double m_remoteLoad = 0; ///< Requests of other daemons at the target, as of m_loadTime.
    Clock::TimePoint m_loadTime;
    Clock::TimePoint m_coldUntil;
    Clock::TimePoint m_suspectUntil;
    Clock::TimePoint m_missingUntil{};
    unsigned m_consecutiveFailures = 0;
    double m_health = 1.0;
    double m_latency = 0; ///< Seconds.
    SlidingWindowCounter m_recentRequests;
};

} // namespace Guavalock

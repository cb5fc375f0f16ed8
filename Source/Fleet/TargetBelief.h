#pragma once

#include "Fleet/SendWindow.h"
#include "Fleet/TargetRecord.h"
#include "Fleet/TargetReport.h"
#include "Kernel/Clock.h"

#include <cstdint>

namespace Guavalock
{

/// What this daemon believes of one target: its record, and what requests sent there have shown.
class TargetBelief
{
public:
    TargetBelief(TargetRecord record, std::uint64_t offset, Clock::TimePoint now);

    /// Takes a newer record over.
    void renew(TargetRecord record, std::uint64_t offset, Clock::TimePoint now);

    void sent(std::size_t promptTokens, Clock::TimePoint now);

    /// The target has begun to answer a request, so that its prompt has been read.
    void began(std::size_t promptTokens);

    void ended(const TargetReport &report, Clock::Duration coldTime, Clock::TimePoint now);

    /// The target's records may have stopped being true; it counts as cold for a time.
    void doubt(Clock::Duration coldTime, Clock::TimePoint now);

    bool cold(Clock::TimePoint now) const;

    /// The target's record is missing, and may come back until a time.
    void miss(Clock::TimePoint until);

    bool missing(Clock::TimePoint now) const;

    /// Returns whether recent requests failed, or the record is missing, so that others are to be preferred.
    bool suspect(Clock::TimePoint now) const;

    /// Returns requests in progress as far as is known, counted in requests.
    double load(Clock::TimePoint now) const;

    /// Returns the recent share of attempts that the target did not fail, from 0 to 1.
    double health() const;

    /// Returns the typical time to the first byte of an answer, or zero when unknown.
    std::chrono::microseconds typicalLatency() const;

    std::size_t sentLately(Clock::TimePoint now);

    const TargetRecord &record() const;
    std::uint64_t offset() const;

private:
    void noteHealth(bool good);

    TargetRecord m_record;
    std::uint64_t m_offset;
    std::size_t m_outstanding = 0;
    std::size_t m_promptTokens = 0; ///< Of requests whose answer has not begun.
    double m_othersLoad = 0; ///< Requests of other daemons there, at m_loadTime.
    Clock::TimePoint m_loadTime;
    Clock::TimePoint m_coldUntil;
    Clock::TimePoint m_suspectUntil;
    Clock::TimePoint m_missingUntil{};
    unsigned m_failuresInRow = 0;
    double m_health = 1.0;
    double m_latency = 0; ///< Seconds.
    SendWindow m_sends;
};

} // namespace Guavalock

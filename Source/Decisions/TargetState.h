#pragma once

#include "Decisions/AttemptEnd.h"
#include "Decisions/DurationEstimate.h"
#include "Decisions/LoadReport.h"
#include "Decisions/SlowStart.h"
#include "Kernel/Clock.h"

#include <cstddef>
#include <string_view>

namespace Guavalock
{

/// What one daemon knows of one target, and how much it may send there.
///
/// A target is unknown until it reports. Unknown and cold targets get at most the cold share. A warm report, or a new incarnation
/// that is warm, starts a slow rise from the cold share to the warm share. A broken or refused connection makes it unknown again.
class TargetState
{
public:
    enum class Warmth {
        Unknown,
        Cold,
        Warm,
    };

    /// Sets what this daemon may use of the target's slots, at least one in the warm state, and what all daemons together may use
    /// while it is cold.
    void setShares(std::size_t coldShare, std::size_t warmShare, std::size_t coldSlots);

    void setInService(bool inService);

    /// Takes a report into account.
    void reported(const LoadReport &report, Clock::TimePoint now);

    /// A call has been given to the target.
    void dispatched(bool suspect);

    /// A call has ended after a time.
    void ended(AttemptEnd end, bool suspect, Clock::Duration took, Clock::TimePoint now);

    /// The target did not answer a probe.
    void probeFailed(Clock::TimePoint now);

    /// Returns how many calls this daemon may have outstanding now.
    std::size_t limit() const;

    bool hasRoom(bool suspect, Clock::TimePoint now) const;

    /// Returns whether new work may be sent here at all, room aside.
    bool usable(Clock::TimePoint now) const;

    /// Returns whether new work may be sent here, or may be once the target has reported.
    bool promising(Clock::TimePoint now) const;

    /// Returns whether it is time to ask the target for a report, given how long a report stays good.
    bool wantsProbe(Clock::TimePoint now, Clock::Duration reportLife) const;

    /// Returns how long one more call would take until it is answered: the mean duration, stretched by the load and by the share of
    /// calls that lately failed and have to be made again.
    Clock::Duration predicted(std::size_t slots, Clock::Duration assumed, Clock::TimePoint now) const;

    Warmth warmth() const;
    std::size_t outstanding() const;

    /// Returns what this daemon may use of the target's slots once it is warm and has risen.
    std::size_t warmShare() const;
    bool inService() const;
    const DurationEstimate &durations() const;
    const LoadReport &report() const;
    std::string_view warmthName() const;

private:
    void becameUnknown(Clock::TimePoint now);
    void noteOutcome(bool failed, Clock::TimePoint now);
    double failureShare(Clock::TimePoint now) const;
    std::size_t load() const;
    bool bearsOneMore(Clock::TimePoint now) const;
    bool settled(Clock::TimePoint now) const;

    bool m_inService = true;
    Warmth m_warmth = Warmth::Unknown;
    std::size_t m_coldShare = 0;
    std::size_t m_warmShare = 1;
    std::size_t m_coldSlots = 1;
    SlowStart m_slowStart;
    std::size_t m_outstanding = 0;
    std::size_t m_suspects = 0;
    std::size_t m_outstandingAtReport = 0;
    LoadReport m_report;
    Clock::TimePoint m_reportedAt{};
    Clock::TimePoint m_settledAt{}; ///< When every neighbour has heard that the target turned cold.
    bool m_hasReport = false;
    std::size_t m_failures = 0; ///< In a row.
    Clock::TimePoint m_avoidUntil{};
    DurationEstimate m_durations;
    double m_failureShare = 0; ///< Of the latest calls, at the time of the last.
    Clock::TimePoint m_lastOutcome{};
};

} // namespace Guavalock

#pragma once

#include "Decisions/DurationEstimate.h"
#include "Decisions/LoadReport.h"
#include "Decisions/SlowStart.h"
#include "Decisions/StageAttemptOutcome.h"
#include "Kernel/Clock.h"

#include <cstddef>
#include <string_view>

namespace Guavalock
{

/// One daemon's view of one target, and the concurrency limit that follows from it.
///
/// A target is unknown until it reports, and gets no calls until then. A cold target gets at most the cold share. A report that the
/// target has become warm, or has restarted warm, begins a slow start from the cold share to the warm share. A broken or refused
/// connection makes the target unknown again.
class TargetState
{
public:
    enum class Warmth {
        Unknown,
        Cold,
        Warm,
    };

    /// Sets this daemon's share of the target's slots while it is cold and while it is warm (at least one), and the number of slots
    /// that all daemons together may use while it is cold.
    void setShares(std::size_t coldShare, std::size_t warmShare, std::size_t coldSlots);

    void setInService(bool inService);

    /// Applies a load report from the target.
    void applyReport(const LoadReport &report, Clock::TimePoint now);

    /// Records that a call was sent to the target.
    void recordDispatch(bool suspect);

    /// Records the outcome and duration of a call.
    void recordEnd(StageAttemptOutcome end, bool suspect, Clock::Duration duration, Clock::TimePoint now);

    /// Records that the target did not answer a probe.
    void probeFailed(Clock::TimePoint now);

    /// Returns the current limit on this daemon's outstanding calls.
    std::size_t limit() const;

    /// Returns whether one more call may be sent now. A suspect is not sent while another suspect is outstanding.
    bool hasCapacity(bool suspect, Clock::TimePoint now) const;

    /// Returns whether the target may receive new calls, regardless of its free capacity.
    bool usable(Clock::TimePoint now) const;

    /// Returns whether the target is usable, or may become so with a report that is still expected.
    bool potentiallyUsable(Clock::TimePoint now) const;

    /// Returns whether the target should be probed now, given how long a report stays valid.
    bool probeDue(Clock::TimePoint now, Clock::Duration reportLifetime) const;

    /// Returns the predicted time until one more call is answered: the mean duration, scaled by the load per slot and by the expected
    /// number of attempts at the recent failure rate.
    Clock::Duration predictedDuration(std::size_t slots, Clock::Duration assumed, Clock::TimePoint now) const;

    Warmth warmth() const;
    std::size_t outstanding() const;

    /// Returns this daemon's share of the target's slots after slow start.
    std::size_t warmShare() const;
    bool inService() const;
    const DurationEstimate &durations() const;
    const LoadReport &report() const;
    std::string_view warmthName() const;

private:
    void markUnknown(Clock::TimePoint now);
    void updateFailureRate(bool failed, Clock::TimePoint now);
    double failureRate(Clock::TimePoint now) const;
    std::size_t estimatedLoad() const;
    bool hasColdCapacity(Clock::TimePoint now) const;
    bool settled(Clock::TimePoint now) const;

    bool m_inService = true;
    Warmth m_warmth = Warmth::Unknown;
    std::size_t m_coldShare = 0;
    std::size_t m_warmShare = 1;
    std::size_t m_coldSlots = 1;
    SlowStart m_slowStart;
    std::size_t m_outstanding = 0;
    std::size_t m_outstandingSuspects = 0;
    std::size_t m_outstandingAtReport = 0;
    LoadReport m_report;
    Clock::TimePoint m_reportedAt{};
    Clock::TimePoint m_settledAt{}; ///< By when the other daemons are expected to know that the target turned cold.
    bool m_hasReport = false;
    std::size_t m_consecutiveFailures = 0;
    Clock::TimePoint m_avoidUntil{};
    DurationEstimate m_durations;
    double m_failureRate = 0; ///< Exponentially weighted failure rate as of the last outcome.
    Clock::TimePoint m_lastOutcomeAt{};
};

} // namespace Guavalock

#pragma once

#include "Decisions/AvailabilityStatement.h"
#include "Decisions/LimitShare.h"
#include "Kernel/Clock.h"

namespace Guavalock
{

/// The rate of requests that one incarnation of a target takes from all daemons together, as it has stated in its responses, and this
/// daemon's share of it.
///
/// A daemon earns credit for requests at its share of the rate, up to the credit of the share. In any window, it sends at most what it
/// earns in that time and this credit.
class RequestLimit
{
public:
    /// Rate at which a target gets requests that states a smaller limit, such as zero. A response shows when the limit has ended.
    static constexpr double minRequestsPerSecond = 0.1;

    /// Applies what a response says that arrives now. Responses may overtake each other, so a limit is raised or lifted only by a response
    /// to a request that was sent after the limit had been stated. Returns whether the limit changes.
    bool apply(double requestsPerSecond, Clock::TimePoint requestSentAt, Clock::TimePoint now);

    /// Applies what another daemon has received, if that is newer. Returns whether the limit changes.
    bool merge(double requestsPerSecond, Clock::TimePoint statedAt, Clock::TimePoint now);

    bool isLimited() const;

    /// Returns whether the target has ever stated a limit.
    bool wasLimited() const;

    /// Returns the limit, or AvailabilityStatement::unlimited.
    double requestsPerSecond() const;

    /// Returns whether the limit differs from what other daemons know of it, and notes that they are told. Small changes are no news.
    bool takeNews();

    /// Returns when the target last stated the limit or that it has none, or TimePoint::min().
    Clock::TimePoint statedAt() const;

    /// Sets the share of the limit that this daemon may use. It is empty at first.
    void setShare(const LimitShare &share, Clock::TimePoint now);

    /// Returns the requests per second that this daemon may send.
    double ownRequestsPerSecond() const;

    /// Returns the time until this daemon may send a request: zero if it may do so now, the maximum if it has no share.
    Clock::Duration timeUntilAllowed(Clock::TimePoint now) const;

    /// Counts a request that is sent now.
    void recordRequest(Clock::TimePoint now);

private:
    double creditAt(Clock::TimePoint now) const;
    void setLimit(double requestsPerSecond, Clock::TimePoint now);

    double m_requestsPerSecond = AvailabilityStatement::unlimited;
    Clock::TimePoint m_statedAt = Clock::TimePoint::min();
    double m_told = AvailabilityStatement::unlimited; ///< The limit that other daemons know of.
    bool m_wasLimited = false;
    LimitShare m_share;
    double m_credit = 0; ///< Requests, at m_creditTime. Nothing is known of earlier requests, so it starts at zero.
    Clock::TimePoint m_creditTime = Clock::TimePoint::min();
};

} // namespace Guavalock

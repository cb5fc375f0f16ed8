#pragma once

#include "Decisions/DurationEstimate.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Guavalock
{

/// How long the requests of each route take. Lock rank: Budgets.
class RouteDurations
{
public:
    enum class Span {
        Request, ///< From the receipt of a request to the end of the response.
        Run, ///< From the start of an attempt at a target to the end of the response.
    };

    void begin(const std::string &route, Span span, Clock::TimePoint start);

    /// Ends what began at `start`. A response that is not complete counts only if it took longer than the others.
    void end(const std::string &route, Span span, Clock::TimePoint start, Clock::TimePoint now, bool complete);

    /// Returns a duration that few requests of the route exceed and no request in progress has exceeded yet, or nothing if none is known.
    std::optional<Clock::Duration> upperBound(const std::string &route, Span span, Clock::TimePoint now) const;

private:
    struct Times {
        DurationEstimate estimate;
        std::multiset<Clock::TimePoint> starts; ///< Of those in progress.
    };

    static std::optional<Clock::Duration> upperBound(const Times &times, Clock::TimePoint now);

    mutable RankedMutex m_mutex{LockRank::Budgets};
    std::map<std::string, std::array<Times, 2>> m_routes; ///< Times by Span.
};

} // namespace Guavalock

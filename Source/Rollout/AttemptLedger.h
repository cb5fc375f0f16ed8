#pragma once

#include "Fleet/AttemptReport.h"
#include "Kernel/Clock.h"
#include "Rollout/RouteCounts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Guavalock
{

/// Counts what this daemon sees of the versions of one service while there is an order.
class AttemptLedger
{
public:
    /// Requests at the versions' targets.
    struct InProgress {
        std::uint64_t newVersion = 0;
        std::uint64_t otherVersions = 0;
    };

    /// Begins anew, with the attempts in progress counted as those of a version that the order replaces.
    void restart();

    void recordSend(std::uint64_t attempt, const std::string &route, bool isNew, bool isCold, Clock::TimePoint now);
    void recordResponseStart(std::uint64_t attempt, Clock::TimePoint now);
    /// Returns whether a failure of the new version (true) or of another one (false) was counted; nothing if none was.
    std::optional<bool> recordEnd(std::uint64_t attempt, AttemptReport::Outcome outcome, Clock::TimePoint now);

    /// Returns the counts, with the attempts that are in progress now.
    CountsByRoute counts(Clock::TimePoint now) const;

    InProgress inProgress() const;

private:
    struct Attempt {
        std::string route;
        bool isNew = false;
        bool isCounted = false; ///< False if the target was cold.
        bool hasStarted = false; ///< Whether the response has.
        Clock::TimePoint sent;
    };

    static VersionCounts &countsOf(CountsByRoute &counts, const Attempt &attempt);

    std::map<std::uint64_t, Attempt> m_attempts;
    CountsByRoute m_counts; ///< Without the attempts in progress.
};

} // namespace Guavalock

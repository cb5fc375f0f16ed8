#pragma once

#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <map>
#include <string>

namespace Guavalock
{

class BacklogTable;

/// Estimates latency by service: of a piece from submission to result, or of a model call up to its first event.
///
/// The expected latency decays to the typical one within seconds after the last observation, so that a service without recent calls is not
/// considered slow. The stored mean does not decay: the next observation is averaged with it, however old it is. A backlog that the batch
/// owner of a service has reported recently replaces the observations. Lock rank: Budgets.
class StageTimes
{
public:
    static constexpr std::chrono::milliseconds typicalStageTime{280}; ///< Typical duration of a stage: one call and the usual queue wait.
    static constexpr std::chrono::milliseconds typicalAnswerDelay{120}; ///< Typical time from the last stage to the first event.

    /// Without a table, only observations are used.
    explicit StageTimes(const BacklogTable *backlogs = nullptr);

    void observe(const std::string &service, Clock::Duration latency, Clock::TimePoint now);

    /// Returns the expected latency, which is never below the given typical latency.
    Clock::Duration expected(const std::string &service, Clock::Duration typical, Clock::TimePoint now) const;

    /// Returns the expected time from the submission of a piece of the given rank to its result.
    Clock::Duration expectedStage(const std::string &service, unsigned rank, Clock::Duration typical, Clock::TimePoint now) const;

private:
    struct Estimate {
        std::chrono::duration<double> mean{0};
        Clock::TimePoint last;
    };

    const BacklogTable *m_backlogs;
    mutable RankedMutex m_mutex{LockRank::Budgets};
    std::map<std::string, Estimate> m_estimates;
};

} // namespace Guavalock

#pragma once

#include "Admission/BacklogEstimate.h"
#include "Admission/ServiceBacklog.h"
#include "Kernel/RankedMutex.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// The backlogs that the batch owners have reported to this daemon. Lock rank: Budgets.
///
/// A report is kept for one second, the time in which queues build up and drain. The latest measurement of a service replaces earlier
/// ones, whichever owner made it, so that a change of the owner needs no notice.
class BacklogTable
{
public:
    void record(const std::vector<ServiceBacklog> &reports, Clock::TimePoint now);

    /// Returns what is known of a service for a rank, or nothing without a recent report.
    std::optional<BacklogEstimate> find(const std::string &service, unsigned rank, Clock::TimePoint now) const;

private:
    mutable RankedMutex m_mutex{LockRank::Budgets};
    std::map<std::string, ServiceBacklog> m_backlogs; ///< By service.
};

} // namespace Guavalock

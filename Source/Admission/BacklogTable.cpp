#include "Admission/BacklogTable.h"

#include <algorithm>
#include <mutex>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::seconds reportLifetime{1}; ///< Queues build up and drain within about a second.

/// Returns the weight of a report. It falls slowly at first, because a queue changes little within the duration of one call.
double weightAt(Clock::Duration age)
{
    const double part = Seconds(age) / Seconds(reportLifetime);
    return 1.0 - part * part;
}

} // namespace

void BacklogTable::record(const std::vector<ServiceBacklog> &reports, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_backlogs, [now](const auto &it) { return now - it.second.measuredAt >= reportLifetime; });
    for (const ServiceBacklog &it : reports) {
        ServiceBacklog &known = m_backlogs[it.service];
        if (known.service.empty() || known.measuredAt <= it.measuredAt) {
            known = it;
        }
    }
}

std::optional<BacklogEstimate> BacklogTable::find(const std::string &service, unsigned rank, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_backlogs.find(service);
    if (it == m_backlogs.end() || now - it->second.measuredAt >= reportLifetime) {
        return std::nullopt;
    }
    const ServiceBacklog &backlog = it->second;
    const Clock::Duration age = std::max(Clock::Duration::zero(), now - backlog.measuredAt);
    return BacklogEstimate{ServiceBacklog::wait(backlog.waits, rank),
                           ServiceBacklog::wait(backlog.lateWaits, rank),
                           backlog.callTime,
                           backlog.averageCallTime,
                           age,
                           weightAt(age)};
}

} // namespace Guavalock

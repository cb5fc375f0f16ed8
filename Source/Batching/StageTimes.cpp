#include "Batching/StageTimes.h"

#include "Admission/BacklogTable.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double smoothing = 0.2; ///< Smoothing factor of the mean; averages over the last few requests.
constexpr Seconds decayTime{1.0}; ///< Decay time constant. Queues build up and drain within about a second.

} // namespace

StageTimes::StageTimes(const BacklogTable *backlogs)
    : m_backlogs(backlogs)
{
}

void StageTimes::observe(const std::string &service, Clock::Duration latency, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto [it, isNew] = m_estimates.try_emplace(service, Estimate{latency, now});
    if (!isNew) {
        it->second.mean += smoothing * (Seconds(latency) - it->second.mean);
        it->second.last = now;
    }
}

Clock::Duration StageTimes::expected(const std::string &service, Clock::Duration typical, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_estimates.find(service);
    if (it == m_estimates.end()) {
        return typical;
    }
    const double remaining = std::exp(-Seconds(now - it->second.last) / decayTime);
    const Seconds excess = (it->second.mean - Seconds(typical)) * remaining;
    return typical + std::max(Clock::Duration::zero(), std::chrono::duration_cast<Clock::Duration>(excess));
}

Clock::Duration StageTimes::expectedStage(const std::string &service, unsigned rank, Clock::Duration typical, Clock::TimePoint now) const
{
    const std::optional<BacklogEstimate> backlog = m_backlogs != nullptr ? m_backlogs->find(service, rank, now) : std::nullopt;
    return backlog ? backlog->expected(typical) : expected(service, typical, now);
}

} // namespace Guavalock

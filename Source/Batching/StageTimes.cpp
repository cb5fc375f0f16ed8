#include "Batching/StageTimes.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double weight = 0.2; ///< Smoothing factor of the mean; averages over the last few requests.
constexpr Seconds memory{1.0}; ///< Decay time constant. Queues build up and drain within about a second.

} // namespace

void StageTimes::observe(const std::string &service, Clock::Duration took, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto [it, isNew] = m_seen.try_emplace(service, Seen{took, now});
    if (!isNew) {
        it->second.mean += weight * (Seconds(took) - it->second.mean);
        it->second.last = now;
    }
}

Clock::Duration StageTimes::expected(const std::string &service, Clock::Duration usual, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_seen.find(service);
    if (it == m_seen.end()) {
        return usual;
    }
    const double kept = std::exp(-Seconds(now - it->second.last) / memory);
    const Seconds excess = (it->second.mean - Seconds(usual)) * kept;
    return usual + std::max(Clock::Duration::zero(), std::chrono::duration_cast<Clock::Duration>(excess));
}

} // namespace Guavalock

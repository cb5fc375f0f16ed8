#include "Admission/BacklogEstimate.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

Clock::Duration weighted(Clock::Duration reported, Clock::Duration typical, double weight)
{
    const Clock::Duration excess = std::max(Clock::Duration::zero(), reported - typical);
    return typical + std::chrono::duration_cast<Clock::Duration>(excess * weight);
}

} // namespace

Clock::Duration BacklogEstimate::expected(Clock::Duration typical) const
{
    return weighted(wait + averageCallTime, typical, weight);
}

Clock::Duration BacklogEstimate::expectedWhenLate(Clock::Duration typical) const
{
    return weighted(std::max(wait, lateWait) + averageCallTime, typical, weight);
}

bool BacklogEstimate::isOverloaded() const
{
    return wait > callTime;
}

} // namespace Guavalock

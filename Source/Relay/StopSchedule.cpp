#include "Relay/StopSchedule.h"

namespace Guavalock
{

void StopSchedule::begin(Clock::TimePoint end)
{
    m_end = end;
}

std::optional<Clock::TimePoint> StopSchedule::end() const
{
    const Clock::TimePoint end = m_end;
    return end == Clock::TimePoint::max() ? std::nullopt : std::optional<Clock::TimePoint>(end);
}

} // namespace Guavalock

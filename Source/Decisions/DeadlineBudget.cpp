#include "Decisions/DeadlineBudget.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

Clock::Duration totalMinDuration(std::span<const DeadlineBudget::Stage> stages)
{
    Clock::Duration total{};
    for (const DeadlineBudget::Stage &it : stages) {
        total += it.minDuration;
    }
    return total;
}

} // namespace

bool DeadlineBudget::reachable(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline)
{
    return now + totalMinDuration(remaining) < deadline;
}

Clock::TimePoint DeadlineBudget::stageDeadline(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline)
{
    const Clock::TimePoint latest = deadline - totalMinDuration(remaining.subspan(1));
    return std::min(now + remaining.front().timeout, latest);
}

} // namespace Guavalock

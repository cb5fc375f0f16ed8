#include "Decisions/DeadlineBudget.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

Clock::Duration bestTotal(std::span<const DeadlineBudget::Stage> stages)
{
    Clock::Duration total{};
    for (const DeadlineBudget::Stage &it : stages) {
        total += it.best;
    }
    return total;
}

} // namespace

bool DeadlineBudget::reachable(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline)
{
    return now + bestTotal(remaining) < deadline;
}

Clock::TimePoint DeadlineBudget::stageEnd(std::span<const Stage> remaining, Clock::TimePoint now, Clock::TimePoint deadline)
{
    const Clock::TimePoint latest = deadline - bestTotal(remaining.subspan(1));
    return std::min(now + remaining.front().longest, latest);
}

} // namespace Guavalock

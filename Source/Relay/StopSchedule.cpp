#include "Relay/StopSchedule.h"

namespace Guavalock
{

void StopSchedule::begin(const StopPlan &plan)
{
    const std::scoped_lock lock(m_mutex);
    m_plan = plan;
}

std::optional<StopPlan> StopSchedule::plan() const
{
    const std::scoped_lock lock(m_mutex);
    return m_plan;
}

} // namespace Guavalock

#include "Relay/TargetWait.h"

#include "Fleet/FleetTable.h"

namespace Guavalock
{

TargetWait::TargetWait(FleetTable &fleet, TargetRequirements requirements)
    : m_fleet(fleet)
    , m_requirements(std::move(requirements))
{
}

TargetWait::~TargetWait()
{
    if (m_joined) {
        m_fleet.leaveWaiting(m_requirements);
    }
}

void TargetWait::join()
{
    if (!m_joined) {
        m_joined = true;
        m_fleet.joinWaiting(m_requirements);
    }
}

} // namespace Guavalock

#pragma once

#include "Fleet/TargetRequirements.h"

namespace Guavalock
{

class FleetTable;

/// The time in which a request waits for its turn at targets that limit their requests. Ends when it is destroyed.
class TargetWait
{
public:
    TargetWait(FleetTable &fleet, TargetRequirements requirements);
    ~TargetWait();

    TargetWait(const TargetWait &) = delete;
    TargetWait &operator=(const TargetWait &) = delete;

    /// Begins the wait, or does nothing if it has begun.
    void join();

private:
    FleetTable &m_fleet;
    TargetRequirements m_requirements;
    bool m_joined = false;
};

} // namespace Guavalock

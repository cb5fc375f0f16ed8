#pragma once

#include "Kernel/Clock.h"

#include <string_view>

namespace Guavalock
{

class FleetTable;
class Metrics;
struct AvailabilityStatement;
struct SelectedTarget;

/// Records what targets state about further requests, with a log line and a counter for each change.
class AvailabilityRecorder
{
public:
    AvailabilityRecorder(FleetTable &fleet, Metrics &metrics);

    /// Records a statement. The source names the kind of message that carried it.
    void record(const SelectedTarget &target, const AvailabilityStatement &statement, std::string_view source, Clock::TimePoint now) const;

private:
    FleetTable &m_fleet;
    Metrics &m_metrics;
};

} // namespace Guavalock

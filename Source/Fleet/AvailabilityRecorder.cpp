#include "Fleet/AvailabilityRecorder.h"

#include "Decisions/AvailabilityStatement.h"
#include "Fleet/FleetTable.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"

namespace Guavalock
{

namespace
{

const char *statementName(const AvailabilityStatement &statement)
{
    if (statement.leaves) {
        return "leaving";
    }
    if (statement.pause) {
        return "paused";
    }
    return statement.isLimited() ? "limited" : "unlimited";
}

} // namespace

AvailabilityRecorder::AvailabilityRecorder(FleetTable &fleet, Metrics &metrics)
    : m_fleet(fleet)
    , m_metrics(metrics)
{
}

void AvailabilityRecorder::record(const SelectedTarget &target, const AvailabilityStatement &statement, std::string_view source,
                                  Clock::TimePoint now) const
{
    if (!m_fleet.recordStatement(target, statement, now)) {
        return;
    }
    const std::string name = statementName(statement);
    m_metrics.counter("target_statements_total{statement=\"" + name + "\"}").add();
    Log::info("fleet", "target-" + name,
              {{"target", target.id},
               {"service", target.service},
               {"source", std::string(source)},
               {"pause_ms", statement.pause ? std::to_string(statement.pause->count()) : ""},
               {"requests_per_s", statement.isLimited() ? std::to_string(*statement.requestLimit) : ""}});
}

} // namespace Guavalock

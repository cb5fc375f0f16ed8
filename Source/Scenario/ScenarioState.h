#pragma once

#include "Decisions/RandomEngine.h"
#include "Scenario/EventQueue.h"
#include "Scenario/ScenarioOutcome.h"
#include "Settings/Configuration.h"

#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Guavalock
{

class ScenarioTarget;
struct ScenarioDaemon;
struct ScenarioSettings;

/// Shared state of a scenario run: virtual time, targets, daemons and the outcome so far.
struct ScenarioState {
    /// Rules that a scenario may disable on purpose, with the effect of disabling each.
    static constexpr const char *coldLimitRule = "cold-shares"; ///< Each daemon uses the entire cold limit instead of its share.
    static constexpr const char *outOfServiceRule = "out-of-service"; ///< Daemons do not apply configuration changes.
    static constexpr const char *runOnceRule = "run-once"; ///< All calls are treated as idempotent.
    static constexpr const char *notRunRule = "not-run"; ///< Every refusal reports that nothing was run.
    static constexpr const char *quarantineRule = "quarantine"; ///< Target crashes are not recorded.

    ScenarioState(const ScenarioSettings &settings, std::uint64_t seed, std::ostream *trace);
    ~ScenarioState();

    ScenarioTarget &target(const std::string &name);
    bool isDisabled(const char *rule) const;

    /// Writes a line to the trace, if enabled.
    void traceEvent(const std::string &text);

    static std::vector<std::string> rules();

    const ScenarioSettings &settings;
    std::ostream *trace;
    EventQueue events;
    RandomEngine random;
    ScenarioOutcome outcome;
    Configuration configuration;
    std::map<std::string, std::unique_ptr<ScenarioTarget>> targets;
    std::vector<std::unique_ptr<ScenarioDaemon>> daemons;
    std::map<std::string, Clock::TimePoint> outOfServiceSince; ///< Keyed by target or data centre.
    double arrivalRateFactor = 1; ///< Multiplier of the load's arrival rate.
};

} // namespace Guavalock

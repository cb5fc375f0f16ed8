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

/// Everything that a scenario plays with: time, targets, daemons and the outcome so far.
struct ScenarioWorld {
    /// Rules that a scenario may break on purpose, and what that means.
    static constexpr const char *coldRule = "cold-shares"; ///< Each daemon takes the whole cold limit for itself.
    static constexpr const char *outRule = "out-of-service"; ///< Daemons do not adopt changes.
    static constexpr const char *onceRule = "run-once"; ///< Every call may be repeated.
    static constexpr const char *notRunRule = "not-run"; ///< Every refusal says that nothing was run.
    static constexpr const char *poisonRule = "quarantine"; ///< Deaths of targets are not remembered.

    ScenarioWorld(const ScenarioSettings &settings, std::uint64_t seed, std::ostream *trace);
    ~ScenarioWorld();

    ScenarioTarget &target(const std::string &name);
    bool breaks(const char *rule) const;

    /// Writes a line of the trace, if there is one.
    void note(const std::string &text);

    static std::vector<std::string> rules();

    const ScenarioSettings &settings;
    std::ostream *trace;
    EventQueue events;
    RandomEngine random;
    ScenarioOutcome outcome;
    Configuration configuration;
    std::map<std::string, std::unique_ptr<ScenarioTarget>> targets;
    std::vector<std::unique_ptr<ScenarioDaemon>> daemons;
    std::map<std::string, Clock::TimePoint> outSince; ///< By target or data centre.
    double rateFactor = 1; ///< Of the load's rate.
};

} // namespace Guavalock

#pragma once

#include "Scenario/ScenarioCentre.h"
#include "Scenario/ScenarioExpectation.h"
#include "Scenario/ScenarioFault.h"
#include "Scenario/ScenarioLoad.h"
#include "Scenario/ScenarioTargets.h"

#include <string>
#include <vector>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A scenario as its file states it.
struct ScenarioSettings {
    std::size_t seed = 1;
    std::string policy = "predicted-finish";
    std::chrono::milliseconds duration{20'000};
    std::chrono::milliseconds latency{1}; ///< One way, between any two machines.
    std::vector<ScenarioCentre> centres;
    std::vector<ScenarioTargets> targets;
    std::vector<std::string> stages; ///< The pool of each stage of a request, in order.
    bool idempotent = true;
    ScenarioLoad load;
    std::vector<ScenarioFault> faults;
    std::size_t randomFaults = 0; ///< Further faults of targets, drawn from the seed.
    std::vector<std::string> breaks; ///< Rules that are broken on purpose, to show that a check sees it.
    std::vector<ScenarioExpectation> expect;

    static const FieldTable<ScenarioSettings> &fields();
};

} // namespace Guavalock

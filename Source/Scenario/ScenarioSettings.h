#pragma once

#include "Scenario/ScenarioDataCentre.h"
#include "Scenario/ScenarioExpectation.h"
#include "Scenario/ScenarioFault.h"
#include "Scenario/ScenarioLoad.h"
#include "Scenario/ScenarioTargetGroup.h"

#include <string>
#include <vector>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Contents of a scenario file.
struct ScenarioSettings {
    std::size_t seed = 1;
    std::string policy = "predicted-finish";
    std::chrono::milliseconds duration{20'000};
    std::chrono::milliseconds latency{1}; ///< One-way network latency between any two machines.
    std::vector<ScenarioDataCentre> dataCentres;
    std::vector<ScenarioTargetGroup> targets;
    std::vector<std::string> stages; ///< Pool of each stage of a request, in order.
    bool idempotent = true;
    ScenarioLoad load;
    std::vector<ScenarioFault> faults;
    std::size_t randomFaults = 0; ///< Number of additional random target faults, derived from the seed.
    std::vector<std::string> disabledRules; ///< Rules disabled on purpose, to test that the checks detect the violation.
    std::vector<ScenarioExpectation> expect;

    static const FieldTable<ScenarioSettings> &fields();
};

} // namespace Guavalock

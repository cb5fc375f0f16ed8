#include "Scenario/ScenarioState.h"

#include "Scenario/ScenarioDaemon.h"
#include "Scenario/ScenarioSettings.h"
#include "Scenario/ScenarioTarget.h"

#include <algorithm>

namespace Guavalock
{

ScenarioState::ScenarioState(const ScenarioSettings &scenario, std::uint64_t seed, std::ostream *traceTo)
    : settings(scenario)
    , trace(traceTo)
    , random(seed)
{
}

ScenarioState::~ScenarioState() = default;

ScenarioTarget &ScenarioState::target(const std::string &name)
{
    return *targets.at(name);
}

std::vector<std::string> ScenarioState::rules()
{
    return {coldLimitRule, outOfServiceRule, runOnceRule, notRunRule, quarantineRule};
}

bool ScenarioState::isDisabled(const char *rule) const
{
    return std::ranges::find(settings.disabledRules, rule) != settings.disabledRules.end();
}

void ScenarioState::traceEvent(const std::string &text)
{
    if (trace != nullptr) {
        *trace << std::chrono::duration<double, std::milli>(events.now().time_since_epoch()).count() << " " << text << '\n';
    }
}

} // namespace Guavalock

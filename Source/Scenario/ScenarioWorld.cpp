#include "Scenario/ScenarioWorld.h"

#include "Scenario/ScenarioDaemon.h"
#include "Scenario/ScenarioSettings.h"
#include "Scenario/ScenarioTarget.h"

#include <algorithm>

namespace Guavalock
{

ScenarioWorld::ScenarioWorld(const ScenarioSettings &scenario, std::uint64_t seed, std::ostream *traceTo)
    : settings(scenario)
    , trace(traceTo)
    , random(seed)
{
}

ScenarioWorld::~ScenarioWorld() = default;

ScenarioTarget &ScenarioWorld::target(const std::string &name)
{
    return *targets.at(name);
}

std::vector<std::string> ScenarioWorld::rules()
{
    return {coldRule, outRule, onceRule, notRunRule, poisonRule};
}

bool ScenarioWorld::breaks(const char *rule) const
{
    return std::ranges::find(settings.breaks, rule) != settings.breaks.end();
}

void ScenarioWorld::note(const std::string &text)
{
    if (trace != nullptr) {
        *trace << std::chrono::duration<double, std::milli>(events.now().time_since_epoch()).count() << " " << text << '\n';
    }
}

} // namespace Guavalock

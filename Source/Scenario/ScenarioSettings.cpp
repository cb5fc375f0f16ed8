#include "Scenario/ScenarioSettings.h"

#include "Scenario/ScenarioFaults.h"
#include "Scenario/ScenarioOutcome.h"
#include "Scenario/ScenarioWorld.h"
#include "Settings/FieldTable.h"

namespace Guavalock
{

namespace
{

using std::chrono::milliseconds;

SettingsCheck<std::string> oneOf(const std::vector<std::string> &names)
{
    return [names](const std::string &it) -> std::optional<std::string> {
        std::string expected = "one of";
        for (const std::string &name : names) {
            if (name == it) {
                return std::nullopt;
            }
            expected += " " + name;
        }
        return expected;
    };
}

std::optional<std::string> knownRules(const std::vector<std::string> &list)
{
    for (const std::string &it : list) {
        if (const std::optional<std::string> expected = oneOf(ScenarioWorld::rules())(it)) {
            return expected;
        }
    }
    return std::nullopt;
}

} // namespace

const FieldTable<ScenarioCentre> &ScenarioCentre::fields()
{
    static const FieldTable<ScenarioCentre> table = [] {
        FieldTable<ScenarioCentre> it;
        it.required("name", &ScenarioCentre::name, "the data centre's name", plainName());
        it.optional("daemons", &ScenarioCentre::daemons, between<std::size_t>(1, 400));
        return it;
    }();
    return table;
}

const FieldTable<ScenarioTargets> &ScenarioTargets::fields()
{
    static const FieldTable<ScenarioTargets> table = [] {
        FieldTable<ScenarioTargets> it;
        it.required("pool", &ScenarioTargets::pool, "the pool's name", plainName());
        it.required("centre", &ScenarioTargets::centre, "the data centre's name", plainName());
        it.optional("count", &ScenarioTargets::count, between<std::size_t>(1, 1'000));
        it.optional("slots", &ScenarioTargets::slots, between<std::size_t>(1, 1'000));
        it.optional("cold_slots", &ScenarioTargets::coldSlots, between<std::size_t>(1, 1'000));
        it.optional("cold_calls", &ScenarioTargets::coldCalls);
        it.optional("call", &ScenarioTargets::call, between(milliseconds(1), milliseconds(60'000)));
        it.optional("slowest", &ScenarioTargets::slowest, between(1.0, 100.0));
        return it;
    }();
    return table;
}

const FieldTable<ScenarioLoad> &ScenarioLoad::fields()
{
    static const FieldTable<ScenarioLoad> table = [] {
        FieldTable<ScenarioLoad> it;
        it.optional("rate", &ScenarioLoad::rate, between(0.1, 100'000.0));
        it.optional("organisations", &ScenarioLoad::organisations, between<std::size_t>(1, 1'000));
        it.optional("deadline", &ScenarioLoad::deadline, between(milliseconds(1), milliseconds(60'000)));
        it.optional("poison_every", &ScenarioLoad::poisonEvery);
        return it;
    }();
    return table;
}

const FieldTable<ScenarioFault> &ScenarioFault::fields()
{
    static const FieldTable<ScenarioFault> table = [] {
        FieldTable<ScenarioFault> it;
        it.required("at", &ScenarioFault::at, "when it happens, as in 5s");
        it.required("kind", &ScenarioFault::kind, "what happens", oneOf(ScenarioFaults::faultKinds()));
        it.optional("name", &ScenarioFault::name);
        it.optional("for", &ScenarioFault::length, between(milliseconds(1), milliseconds(600'000)));
        return it;
    }();
    return table;
}

const FieldTable<ScenarioExpectation> &ScenarioExpectation::fields()
{
    static const FieldTable<ScenarioExpectation> table = [] {
        FieldTable<ScenarioExpectation> it;
        it.required("figure", &ScenarioExpectation::figure, "a figure of the outcome", oneOf(ScenarioOutcome::names()));
        it.optional("least", &ScenarioExpectation::least);
        it.optional("most", &ScenarioExpectation::most);
        return it;
    }();
    return table;
}

const FieldTable<ScenarioSettings> &ScenarioSettings::fields()
{
    static const FieldTable<ScenarioSettings> table = [] {
        FieldTable<ScenarioSettings> it;
        it.optional("seed", &ScenarioSettings::seed);
        it.optional("policy", &ScenarioSettings::policy, pluginOf("policy"));
        it.optional("duration", &ScenarioSettings::duration, between(milliseconds(100), milliseconds(3'600'000)));
        it.optional("latency", &ScenarioSettings::latency, between(milliseconds(1), milliseconds(1'000)));
        it.required("centres", &ScenarioSettings::centres, "the data centres", notEmpty<ScenarioCentre>());
        it.required("targets", &ScenarioSettings::targets, "the targets", notEmpty<ScenarioTargets>());
        it.required("stages", &ScenarioSettings::stages, "the pool of each stage", notEmpty<std::string>());
        it.optional("idempotent", &ScenarioSettings::idempotent);
        it.optional("load", &ScenarioSettings::load);
        it.optional("faults", &ScenarioSettings::faults);
        it.optional("random_faults", &ScenarioSettings::randomFaults, between<std::size_t>(0, 1'000));
        it.optional("breaks", &ScenarioSettings::breaks, SettingsCheck<std::vector<std::string>>(knownRules));
        it.optional("expect", &ScenarioSettings::expect);
        return it;
    }();
    return table;
}

} // namespace Guavalock

#include "Scenario/ScenarioSettings.h"

#include "Scenario/ScenarioFaultInjector.h"
#include "Scenario/ScenarioOutcome.h"
#include "Scenario/ScenarioState.h"
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
        if (const std::optional<std::string> expected = oneOf(ScenarioState::rules())(it)) {
            return expected;
        }
    }
    return std::nullopt;
}

} // namespace

const FieldTable<ScenarioDataCentre> &ScenarioDataCentre::fields()
{
    static const FieldTable<ScenarioDataCentre> table = [] {
        FieldTable<ScenarioDataCentre> it;
        it.required("name", &ScenarioDataCentre::name, "the data centre's name", plainName());
        it.optional("daemons", &ScenarioDataCentre::daemons, between<std::size_t>(1, 400));
        return it;
    }();
    return table;
}

const FieldTable<ScenarioTargetGroup> &ScenarioTargetGroup::fields()
{
    static const FieldTable<ScenarioTargetGroup> table = [] {
        FieldTable<ScenarioTargetGroup> it;
        it.required("pool", &ScenarioTargetGroup::pool, "the pool's name", plainName());
        it.required("centre", &ScenarioTargetGroup::dataCentre, "the data centre's name", plainName());
        it.optional("count", &ScenarioTargetGroup::count, between<std::size_t>(1, 1'000));
        it.optional("slots", &ScenarioTargetGroup::slots, between<std::size_t>(1, 1'000));
        it.optional("cold_slots", &ScenarioTargetGroup::coldSlots, between<std::size_t>(1, 1'000));
        it.optional("cold_calls", &ScenarioTargetGroup::coldCalls);
        it.optional("call", &ScenarioTargetGroup::callTime, between(milliseconds(1), milliseconds(60'000)));
        it.optional("slowest", &ScenarioTargetGroup::slowestFactor, between(1.0, 100.0));
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
        it.required("at", &ScenarioFault::time, "the time of the fault, such as 5s");
        it.required("kind", &ScenarioFault::kind, "the kind of fault", oneOf(ScenarioFaultInjector::faultKinds()));
        it.optional("name", &ScenarioFault::name);
        it.optional("for", &ScenarioFault::duration, between(milliseconds(1), milliseconds(600'000)));
        return it;
    }();
    return table;
}

const FieldTable<ScenarioExpectation> &ScenarioExpectation::fields()
{
    static const FieldTable<ScenarioExpectation> table = [] {
        FieldTable<ScenarioExpectation> it;
        it.required("figure", &ScenarioExpectation::figure, "a figure of the outcome", oneOf(ScenarioOutcome::figureNames()));
        it.optional("least", &ScenarioExpectation::minimum);
        it.optional("most", &ScenarioExpectation::maximum);
        return it;
    }();
    return table;
}

const FieldTable<ScenarioSettings> &ScenarioSettings::fields()
{
    static const FieldTable<ScenarioSettings> table = [] {
        FieldTable<ScenarioSettings> it;
        it.optional("seed", &ScenarioSettings::seed);
        it.optional("policy", &ScenarioSettings::policy, pluginName("policy"));
        it.optional("duration", &ScenarioSettings::duration, between(milliseconds(100), milliseconds(3'600'000)));
        it.optional("latency", &ScenarioSettings::latency, between(milliseconds(1), milliseconds(1'000)));
        it.required("centres", &ScenarioSettings::dataCentres, "the data centres", notEmpty<ScenarioDataCentre>());
        it.required("targets", &ScenarioSettings::targets, "the targets", notEmpty<ScenarioTargetGroup>());
        it.required("stages", &ScenarioSettings::stages, "the pool of each stage", notEmpty<std::string>());
        it.optional("idempotent", &ScenarioSettings::idempotent);
        it.optional("load", &ScenarioSettings::load);
        it.optional("faults", &ScenarioSettings::faults);
        it.optional("random_faults", &ScenarioSettings::randomFaults, between<std::size_t>(0, 1'000));
        it.optional("breaks", &ScenarioSettings::disabledRules, SettingsCheck<std::vector<std::string>>(knownRules));
        it.optional("expect", &ScenarioSettings::expect);
        return it;
    }();
    return table;
}

} // namespace Guavalock

#include "Scenario/ScenarioFaultInjector.h"

#include "Scenario/ScenarioDaemon.h"
#include "Scenario/ScenarioSettings.h"
#include "Scenario/ScenarioState.h"
#include "Scenario/ScenarioTarget.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr double slowFactor = 8;
constexpr double burstFactor = 4;

} // namespace

ScenarioFaultInjector::ScenarioFaultInjector(ScenarioState &state)
    : m_state(state)
{
}

void ScenarioFaultInjector::schedule()
{
    for (const ScenarioFault &it : m_state.settings.faults) {
        schedule(it);
    }
    for (std::size_t it = 0; it < m_state.settings.randomFaults; ++it) {
        schedule(randomFault());
    }
}

const std::vector<ScenarioFaultInjector::FaultHandler> &ScenarioFaultInjector::faultHandlers()
{
    static const std::vector<FaultHandler> handlers = {
        {"crash", &ScenarioFaultInjector::injectCrash},
        {"cold", &ScenarioFaultInjector::injectCold},
        {"slow", &ScenarioFaultInjector::injectSlow},
        {"lose", &ScenarioFaultInjector::injectLose},
        {"fail", &ScenarioFaultInjector::injectFail},
        {"target-out", &ScenarioFaultInjector::injectTargetOut},
        {"target-in", &ScenarioFaultInjector::injectTargetIn},
        {"centre-out", &ScenarioFaultInjector::injectDataCentreOut},
        {"centre-in", &ScenarioFaultInjector::injectDataCentreIn},
        {"burst", &ScenarioFaultInjector::injectBurst},
        {"kill-daemon", &ScenarioFaultInjector::injectKillDaemon},
        {"cut", &ScenarioFaultInjector::injectPartition},
    };
    return handlers;
}

std::vector<std::string> ScenarioFaultInjector::faultKinds()
{
    std::vector<std::string> kinds;
    for (const FaultHandler &it : faultHandlers()) {
        kinds.emplace_back(it.kind);
    }
    return kinds;
}

void ScenarioFaultInjector::schedule(const ScenarioFault &fault)
{
    m_state.events.scheduleAfter(fault.time, [this, fault] {
        m_state.traceEvent("fault " + fault.kind + " " + fault.name);
        const auto handler = std::ranges::find(faultHandlers(), fault.kind, [](const FaultHandler &it) { return std::string(it.kind); });
        (this->*handler->handle)(fault);
    });
}

ScenarioFault ScenarioFaultInjector::randomFault()
{
    static const std::vector<std::string> kinds{"crash", "cold", "slow", "lose", "fail", "burst", "target-out", "target-in"};
    auto target = m_state.targets.begin();
    std::advance(target, m_state.random() % m_state.targets.size());
    ScenarioFault fault;
    fault.time = std::chrono::milliseconds(m_state.random() % static_cast<std::uint64_t>(m_state.settings.duration.count()));
    fault.kind = kinds[m_state.random() % kinds.size()];
    fault.name = target->first;
    fault.duration = std::chrono::milliseconds(200 + m_state.random() % 4'000);
    return fault;
}

void ScenarioFaultInjector::propagateConfiguration()
{
    if (m_state.isDisabled(ScenarioState::outOfServiceRule)) {
        return;
    }
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        ScenarioDaemon &daemon = *it;
        // Daemons follow the log independently, so each applies the change after a delay of its own.
        const std::chrono::milliseconds wait(std::uniform_int_distribution<int>(1, 1'000)(m_state.random));
        m_state.events.scheduleAfter(wait, [this, &daemon] { daemon.targets.applyConfiguration(m_state.configuration); });
    }
}

void ScenarioFaultInjector::injectCrash(const ScenarioFault &fault)
{
    m_state.target(fault.name).crash(fault.duration);
}

void ScenarioFaultInjector::injectCold(const ScenarioFault &fault)
{
    m_state.target(fault.name).becomeCold();
}

void ScenarioFaultInjector::injectSlow(const ScenarioFault &fault)
{
    m_state.target(fault.name).slowDown(slowFactor, fault.duration);
}

void ScenarioFaultInjector::injectLose(const ScenarioFault &fault)
{
    m_state.target(fault.name).loseReplies(fault.duration);
}

void ScenarioFaultInjector::injectFail(const ScenarioFault &fault)
{
    m_state.target(fault.name).failCalls(fault.duration);
}

void ScenarioFaultInjector::takeOutOfService(std::set<std::string> &out, const std::string &name)
{
    out.insert(name);
    m_state.outOfServiceSince[name] = m_state.events.now();
    propagateConfiguration();
}

void ScenarioFaultInjector::returnToService(std::set<std::string> &out, const std::string &name)
{
    out.erase(name);
    m_state.outOfServiceSince.erase(name);
    propagateConfiguration();
}

void ScenarioFaultInjector::injectTargetOut(const ScenarioFault &fault)
{
    takeOutOfService(m_state.configuration.targetsOut, fault.name);
}

void ScenarioFaultInjector::injectTargetIn(const ScenarioFault &fault)
{
    returnToService(m_state.configuration.targetsOut, fault.name);
}

void ScenarioFaultInjector::injectDataCentreOut(const ScenarioFault &fault)
{
    takeOutOfService(m_state.configuration.dataCentresOut, fault.name);
}

void ScenarioFaultInjector::injectDataCentreIn(const ScenarioFault &fault)
{
    returnToService(m_state.configuration.dataCentresOut, fault.name);
}

void ScenarioFaultInjector::injectBurst(const ScenarioFault &fault)
{
    m_state.arrivalRateFactor = burstFactor;
    m_state.events.scheduleAfter(fault.duration, [this] { m_state.arrivalRateFactor = 1; });
}

void ScenarioFaultInjector::injectKillDaemon(const ScenarioFault &fault)
{
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        it->up = it->up && it->name != fault.name;
    }
}

void ScenarioFaultInjector::injectPartition(const ScenarioFault &fault)
{
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        if (it->dataCentre == fault.name) {
            ScenarioDaemon &daemon = *it;
            daemon.partitioned = true;
            m_state.events.scheduleAfter(fault.duration, [&daemon] { daemon.partitioned = false; });
        }
    }
}

} // namespace Guavalock

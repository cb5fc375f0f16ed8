#include "Scenario/ScenarioFaults.h"

#include "Scenario/ScenarioDaemon.h"
#include "Scenario/ScenarioSettings.h"
#include "Scenario/ScenarioTarget.h"
#include "Scenario/ScenarioWorld.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr double slowFactor = 8;
constexpr double burstFactor = 4;

} // namespace

ScenarioFaults::ScenarioFaults(ScenarioWorld &world)
    : m_world(world)
{
}

void ScenarioFaults::schedule()
{
    for (const ScenarioFault &it : m_world.settings.faults) {
        schedule(it);
    }
    for (std::size_t it = 0; it < m_world.settings.randomFaults; ++it) {
        schedule(randomFault());
    }
}

const std::vector<ScenarioFaults::FaultRow> &ScenarioFaults::faultRows()
{
    static const std::vector<FaultRow> rows = {
        {"crash", &ScenarioFaults::strikeCrash},
        {"cold", &ScenarioFaults::strikeCold},
        {"slow", &ScenarioFaults::strikeSlow},
        {"lose", &ScenarioFaults::strikeLose},
        {"fail", &ScenarioFaults::strikeFail},
        {"target-out", &ScenarioFaults::strikeTargetOut},
        {"target-in", &ScenarioFaults::strikeTargetIn},
        {"centre-out", &ScenarioFaults::strikeCentreOut},
        {"centre-in", &ScenarioFaults::strikeCentreIn},
        {"burst", &ScenarioFaults::strikeBurst},
        {"kill-daemon", &ScenarioFaults::strikeKillDaemon},
        {"cut", &ScenarioFaults::strikeCut},
    };
    return rows;
}

std::vector<std::string> ScenarioFaults::faultKinds()
{
    std::vector<std::string> kinds;
    for (const FaultRow &it : faultRows()) {
        kinds.emplace_back(it.kind);
    }
    return kinds;
}

void ScenarioFaults::schedule(const ScenarioFault &fault)
{
    m_world.events.after(fault.at, [this, fault] {
        m_world.note("fault " + fault.kind + " " + fault.name);
        const auto row = std::ranges::find(faultRows(), fault.kind, [](const FaultRow &it) { return std::string(it.kind); });
        (this->*row->strike)(fault);
    });
}

ScenarioFault ScenarioFaults::randomFault()
{
    static const std::vector<std::string> kinds{"crash", "cold", "slow", "lose", "fail", "burst", "target-out", "target-in"};
    auto target = m_world.targets.begin();
    std::advance(target, m_world.random() % m_world.targets.size());
    ScenarioFault fault;
    fault.at = std::chrono::milliseconds(m_world.random() % static_cast<std::uint64_t>(m_world.settings.duration.count()));
    fault.kind = kinds[m_world.random() % kinds.size()];
    fault.name = target->first;
    fault.length = std::chrono::milliseconds(200 + m_world.random() % 4'000);
    return fault;
}

void ScenarioFaults::adoptEverywhere()
{
    if (m_world.breaks(ScenarioWorld::outRule)) {
        return;
    }
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        ScenarioDaemon &daemon = *it;
        // Each daemon learns of a change after a time of its own, as its read of the log returns.
        const std::chrono::milliseconds wait(std::uniform_int_distribution<int>(1, 1'000)(m_world.random));
        m_world.events.after(wait, [this, &daemon] { daemon.targets.adopt(m_world.configuration); });
    }
}

void ScenarioFaults::strikeCrash(const ScenarioFault &fault)
{
    m_world.target(fault.name).crash(fault.length);
}

void ScenarioFaults::strikeCold(const ScenarioFault &fault)
{
    m_world.target(fault.name).turnCold();
}

void ScenarioFaults::strikeSlow(const ScenarioFault &fault)
{
    m_world.target(fault.name).slowDown(slowFactor, fault.length);
}

void ScenarioFaults::strikeLose(const ScenarioFault &fault)
{
    m_world.target(fault.name).loseAnswers(fault.length);
}

void ScenarioFaults::strikeFail(const ScenarioFault &fault)
{
    m_world.target(fault.name).failCalls(fault.length);
}

void ScenarioFaults::takeOut(std::set<std::string> &out, const std::string &name)
{
    out.insert(name);
    m_world.outSince[name] = m_world.events.now();
    adoptEverywhere();
}

void ScenarioFaults::bringBack(std::set<std::string> &out, const std::string &name)
{
    out.erase(name);
    m_world.outSince.erase(name);
    adoptEverywhere();
}

void ScenarioFaults::strikeTargetOut(const ScenarioFault &fault)
{
    takeOut(m_world.configuration.targetsOut, fault.name);
}

void ScenarioFaults::strikeTargetIn(const ScenarioFault &fault)
{
    bringBack(m_world.configuration.targetsOut, fault.name);
}

void ScenarioFaults::strikeCentreOut(const ScenarioFault &fault)
{
    takeOut(m_world.configuration.dataCentresOut, fault.name);
}

void ScenarioFaults::strikeCentreIn(const ScenarioFault &fault)
{
    bringBack(m_world.configuration.dataCentresOut, fault.name);
}

void ScenarioFaults::strikeBurst(const ScenarioFault &fault)
{
    m_world.rateFactor = burstFactor;
    m_world.events.after(fault.length, [this] { m_world.rateFactor = 1; });
}

void ScenarioFaults::strikeKillDaemon(const ScenarioFault &fault)
{
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        it->up = it->up && it->name != fault.name;
    }
}

void ScenarioFaults::strikeCut(const ScenarioFault &fault)
{
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        if (it->centre == fault.name) {
            ScenarioDaemon &daemon = *it;
            daemon.cut = true;
            m_world.events.after(fault.length, [&daemon] { daemon.cut = false; });
        }
    }
}

} // namespace Guavalock

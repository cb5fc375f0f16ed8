#pragma once

#include "Scenario/ScenarioFault.h"

#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

struct ScenarioWorld;

/// Brings about the faults of a scenario, those stated and those drawn from the seed.
class ScenarioFaults
{
public:
    explicit ScenarioFaults(ScenarioWorld &world);

    /// Enters every fault into the queue of events.
    void schedule();

    /// Returns the kinds that a scenario file may name.
    static std::vector<std::string> faultKinds();

private:
    using Strike = void (ScenarioFaults::*)(const ScenarioFault &);

    struct FaultRow {
        const char *kind;
        Strike strike;
    };

    static const std::vector<FaultRow> &faultRows();

    void schedule(const ScenarioFault &fault);
    ScenarioFault randomFault();
    void adoptEverywhere();
    void takeOut(std::set<std::string> &out, const std::string &name);
    void bringBack(std::set<std::string> &out, const std::string &name);

    void strikeCrash(const ScenarioFault &fault);
    void strikeCold(const ScenarioFault &fault);
    void strikeSlow(const ScenarioFault &fault);
    void strikeLose(const ScenarioFault &fault);
    void strikeFail(const ScenarioFault &fault);
    void strikeTargetOut(const ScenarioFault &fault);
    void strikeTargetIn(const ScenarioFault &fault);
    void strikeCentreOut(const ScenarioFault &fault);
    void strikeCentreIn(const ScenarioFault &fault);
    void strikeBurst(const ScenarioFault &fault);
    void strikeKillDaemon(const ScenarioFault &fault);
    void strikeCut(const ScenarioFault &fault);

    ScenarioWorld &m_world;
};

} // namespace Guavalock

#pragma once

#include "Scenario/ScenarioFault.h"

#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

struct ScenarioState;

/// Injects the faults listed in a scenario and those drawn from its seed.
class ScenarioFaultInjector
{
public:
    explicit ScenarioFaultInjector(ScenarioState &state);

    /// Schedules all faults in the event queue.
    void schedule();

    /// Returns the fault kinds allowed in scenario files.
    static std::vector<std::string> faultKinds();

private:
    using Handler = void (ScenarioFaultInjector::*)(const ScenarioFault &);

    struct FaultHandler {
        const char *kind;
        Handler handle;
    };

    static const std::vector<FaultHandler> &faultHandlers();

    void schedule(const ScenarioFault &fault);
    ScenarioFault randomFault();
    void propagateConfiguration();
    void takeOutOfService(std::set<std::string> &out, const std::string &name);
    void returnToService(std::set<std::string> &out, const std::string &name);

    void injectCrash(const ScenarioFault &fault);
    void injectCold(const ScenarioFault &fault);
    void injectSlow(const ScenarioFault &fault);
    void injectLose(const ScenarioFault &fault);
    void injectFail(const ScenarioFault &fault);
    void injectTargetOut(const ScenarioFault &fault);
    void injectTargetIn(const ScenarioFault &fault);
    void injectDataCentreOut(const ScenarioFault &fault);
    void injectDataCentreIn(const ScenarioFault &fault);
    void injectBurst(const ScenarioFault &fault);
    void injectKillDaemon(const ScenarioFault &fault);
    void injectPartition(const ScenarioFault &fault);

    ScenarioState &m_state;
};

} // namespace Guavalock

#pragma once

#include "Decisions/RefusalCause.h"
#include "Decisions/StageCourse.h"
#include "Decisions/StageDemand.h"
#include "Scenario/ScenarioFaults.h"
#include "Scenario/ScenarioSettings.h"
#include "Scenario/ScenarioTarget.h"
#include "Scenario/ScenarioWorld.h"
#include "Tables/TargetTable.h"

#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Guavalock
{

struct ScenarioDaemon;
struct ScenarioRequest;

/// Runs one scenario under virtual time. The same settings and seed give the same outcome and trace.
class ScenarioRun
{
public:
    /// A trace goes to the stream, one line an event, unless it is null.
    ScenarioRun(const ScenarioSettings &settings, std::uint64_t seed, std::ostream *trace);
    ~ScenarioRun();

    ScenarioOutcome run();

private:
    using RequestPtr = std::shared_ptr<ScenarioRequest>;

    void build();
    void scheduleArrival();
    void arrive();
    void sendAgain(const RequestPtr &first, std::size_t times);
    void admit(const RequestPtr &request);
    ScenarioDaemon *anyDaemon();

    void beginStage(const RequestPtr &request);
    void attempt(const RequestPtr &request);
    bool tryAt(ScenarioDaemon &daemon, const RequestPtr &request, RefusalCause &cause);
    void takeGrant(ScenarioDaemon &daemon, const RequestPtr &request, bool abandoned, const TargetTable::Granted &granted);
    void dispatch(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot);
    void replied(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot, const ScenarioTarget::Reply &reply);
    void ended(const RequestPtr &request, const StageCourse::Attempt &attempt);
    void giveUp(const RequestPtr &request, RefusalCause cause);
    void noteDeath(const RequestPtr &request, ScenarioDaemon &daemon, const Slot &slot);
    StageDemand demand(const RequestPtr &request) const;

    void probeLoop(ScenarioDaemon &daemon);

    /// A report made in a cold epoch of its target reaches a daemon.
    void sign(ScenarioDaemon &daemon, const std::string &pool, const std::string &target, const LoadReport &report, std::uint64_t epoch);

    void noteRuns(const RequestPtr &request);

    ScenarioWorld m_world;
    ScenarioFaults m_faults;
    std::map<std::string, std::pair<double, double>> m_byOrganisation; ///< Requests and answers.
    std::vector<double> m_refusalTimes;
    std::uint64_t m_requests = 0;
    Clock::TimePoint m_end;
};

} // namespace Guavalock

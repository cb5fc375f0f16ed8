#pragma once

#include "Decisions/RefusalCause.h"
#include "Decisions/StageRequirements.h"
#include "Decisions/StageRetryPolicy.h"
#include "Scenario/ScenarioFaultInjector.h"
#include "Scenario/ScenarioSettings.h"
#include "Scenario/ScenarioState.h"
#include "Scenario/ScenarioTarget.h"
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

/// Simulates a scenario in virtual time. Runs are deterministic: equal settings and seeds give equal outcomes and traces.
class ScenarioRun
{
public:
    /// Writes a trace with one line per event to the stream, unless it is null.
    ScenarioRun(const ScenarioSettings &settings, std::uint64_t seed, std::ostream *trace);
    ~ScenarioRun();

    ScenarioOutcome run();

private:
    using RequestPtr = std::shared_ptr<ScenarioRequest>;

    void build();
    void scheduleArrival();
    void createRequest();
    void scheduleResends(const RequestPtr &first, std::size_t times);
    void admit(const RequestPtr &request);
    ScenarioDaemon *randomDaemon();

    void beginStage(const RequestPtr &request);
    void attempt(const RequestPtr &request);
    bool tryDaemon(ScenarioDaemon &daemon, const RequestPtr &request, RefusalCause &cause);
    void handleGrant(ScenarioDaemon &daemon, const RequestPtr &request, bool abandoned, const TargetTable::GrantResult &granted);
    void dispatch(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot);
    void handleReply(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot, const ScenarioTarget::Reply &reply);
    void recordAttempt(const RequestPtr &request, const StageRetryPolicy::Attempt &attempted);
    void refuse(const RequestPtr &request, RefusalCause cause);
    void recordTargetDeath(const RequestPtr &request, ScenarioDaemon &daemon, const Slot &slot);
    StageRequirements stageRequirements(const RequestPtr &request) const;

    void probeLoop(ScenarioDaemon &daemon);

    /// Applies a load report, made in the given cold epoch of its target, to a daemon.
    void recordReport(ScenarioDaemon &daemon, const std::string &pool, const std::string &target, const LoadReport &report,
                      std::uint64_t epoch);

    void checkRunCount(const RequestPtr &request);

    ScenarioState m_state;
    ScenarioFaultInjector m_faultInjector;
    std::map<std::string, std::pair<double, double>>
        m_byOrganisation; ///< Number of requests and of answers in time, keyed by organisation.
    std::vector<double> m_refusalTimes;
    std::uint64_t m_requests = 0;
    Clock::TimePoint m_end;
};

} // namespace Guavalock

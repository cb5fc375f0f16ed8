#include "Scenario/ScenarioRun.h"

#include "Decisions/DeadlineBudget.h"
#include "Decisions/Hash.h"
#include "Decisions/RefusalTable.h"
#include "Scenario/ScenarioDaemon.h"
#include "Scenario/ScenarioRequest.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds probeInterval{50};
constexpr std::chrono::milliseconds reportLifetime{2'000};
constexpr std::chrono::seconds outOfServiceGracePeriod{
    3}; ///< Time within which new calls to a data centre or target taken out of service must stop.
constexpr std::size_t maxAttempts = 3;
constexpr std::size_t poisonSendCount = 3;

double milliseconds(Clock::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

ScenarioRun::ScenarioRun(const ScenarioSettings &settings, std::uint64_t seed, std::ostream *trace)
    : m_state(settings, seed, trace)
    , m_faultInjector(m_state)
{
}

ScenarioRun::~ScenarioRun() = default;

ScenarioOutcome ScenarioRun::run()
{
    build();
    m_end = m_state.events.now() + m_state.settings.duration;
    m_faultInjector.schedule();
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        probeLoop(*it);
    }
    // Let the daemons probe all targets before the first request arrives, as if they had been running for a while.
    m_state.events.scheduleAfter(std::chrono::milliseconds(500), [this] { scheduleArrival(); });
    m_state.events.runUntil(m_end + m_state.settings.load.deadline + std::chrono::seconds(1));
    for (const auto &[name, counts] : m_byOrganisation) {
        m_state.outcome.smallestShare = std::min(m_state.outcome.smallestShare, counts.second / counts.first);
    }
    if (!m_refusalTimes.empty()) {
        std::ranges::sort(m_refusalTimes);
        m_state.outcome.refusalMedian = m_refusalTimes[m_refusalTimes.size() / 2];
    }
    m_state.outcome.poisonExcess = std::max(0.0, m_state.outcome.deaths - 2 * m_state.outcome.poisons);
    return m_state.outcome;
}

void ScenarioRun::build()
{
    m_state.configuration.nextOffset = 1;
    std::uint16_t port = 1;
    for (const ScenarioTargetGroup &group : m_state.settings.targets) {
        PoolSettings &pool = m_state.configuration.pools[group.pool];
        pool.dialect = "service";
        pool.policy = m_state.settings.policy;
        for (std::size_t it = 0; it < group.count; ++it) {
            const double position = group.count > 1 ? static_cast<double>(it) / static_cast<double>(group.count - 1) : 0.0;
            const double factor = 1.0 + position * (group.slowestFactor - 1.0);
            ScenarioTarget::Parameters parameters{group.pool + "-" + group.dataCentre + "-" + std::to_string(it),
                                                  group.pool,
                                                  group.dataCentre,
                                                  group.slots,
                                                  group.coldSlots,
                                                  group.coldCalls,
                                                  std::chrono::duration_cast<Clock::Duration>(group.callTime * factor)};
            pool.targets.push_back({parameters.name, {"127.0.0.1", port++}, group.dataCentre, group.slots, group.coldSlots});
            m_state.targets[parameters.name]
                = std::make_unique<ScenarioTarget>(parameters, m_state.events, m_state.random, m_state.outcome);
        }
    }
    for (const ScenarioDataCentre &dataCentre : m_state.settings.dataCentres) {
        std::vector<std::string> localDaemons;
        for (std::size_t it = 0; it < dataCentre.daemons; ++it) {
            localDaemons.push_back(dataCentre.name + "-" + std::to_string(it));
        }
        for (const std::string &it : localDaemons) {
            const std::vector<std::string> coldSlotSharers
                = m_state.isDisabled(ScenarioState::coldLimitRule) ? std::vector<std::string>{it} : localDaemons;
            m_state.daemons.push_back(
                std::make_unique<ScenarioDaemon>(TargetPool::DaemonLocation{it, dataCentre.name, coldSlotSharers}, m_state.random()));
        }
    }
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        it->targets.applyConfiguration(m_state.configuration);
    }
}

void ScenarioRun::probeLoop(ScenarioDaemon &daemon)
{
    const Clock::TimePoint now = m_state.events.now();
    if (daemon.up) {
        std::vector<TargetTable::Probe> due = daemon.targets.dueProbes(now, reportLifetime);
        std::erase_if(due, [&](const TargetTable::Probe &it) { return daemon.pendingProbes.contains(it.target); });
        due.resize(daemon.probes.take(due.size(), now));
        for (const TargetTable::Probe &it : due) {
            daemon.pendingProbes.insert(it.target);
            m_state.events.scheduleAfter(2 * m_state.settings.latency, [this, &daemon, it] {
                daemon.pendingProbes.erase(it.target);
                if (const std::optional<LoadReport> report = m_state.target(it.target).probe()) {
                    recordReport(daemon, it.pool, it.target, *report, m_state.target(it.target).coldEpoch());
                } else {
                    daemon.targets.probeFailed(it.pool, it.target, m_state.events.now());
                }
            });
        }
        daemon.targets.dispatchWaiting(now);
    }
    if (now < m_end + m_state.settings.load.deadline) {
        m_state.events.scheduleAfter(probeInterval, [this, &daemon] { probeLoop(daemon); });
    }
}

void ScenarioRun::recordReport(ScenarioDaemon &daemon, const std::string &pool, const std::string &name, const LoadReport &report,
                               std::uint64_t epoch)
{
    daemon.knownEpoch[name] = epoch;
    if (!daemon.targets.applyReport(pool, name, report, m_state.events.now())) {
        return;
    }
    // A changed report is forwarded to the other daemons of the data centre at once; they apply it like their own.
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        ScenarioDaemon &other = *it;
        if (&other != &daemon && other.dataCentre == daemon.dataCentre && other.up) {
            m_state.events.scheduleAfter(m_state.settings.latency, [this, &other, pool, name, report, epoch] {
                other.knownEpoch[name] = epoch;
                other.targets.applyPeerReport(pool, name, report, m_state.events.now());
            });
        }
    }
}

void ScenarioRun::scheduleArrival()
{
    if (m_state.events.now() >= m_end) {
        return;
    }
    std::exponential_distribution<double> gap(m_state.settings.load.rate * m_state.arrivalRateFactor);
    const auto wait = std::chrono::duration_cast<Clock::Duration>(std::chrono::duration<double>(gap(m_state.random)));
    m_state.events.scheduleAfter(wait, [this] {
        createRequest();
        scheduleArrival();
    });
}

ScenarioDaemon *ScenarioRun::randomDaemon()
{
    std::vector<ScenarioDaemon *> up;
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        if (it->up) {
            up.push_back(it.get());
        }
    }
    return up.empty() ? nullptr : up[m_state.random() % up.size()];
}

void ScenarioRun::createRequest()
{
    const auto request = std::make_shared<ScenarioRequest>();
    request->id = ++m_requests;
    request->fingerprint = Hash::of(std::to_string(request->id));
    request->poison = m_state.settings.load.poisonEvery > 0 && request->id % m_state.settings.load.poisonEvery == 0;
    const bool large = m_state.settings.load.organisations == 1 || m_state.random() % 2 == 0;
    request->organisation = "organisation-" + std::to_string(large ? 0 : 1 + m_state.random() % (m_state.settings.load.organisations - 1));
    if (request->poison) {
        m_state.outcome.poisons += 1;
        scheduleResends(request, poisonSendCount - 1);
    }
    admit(request);
}

void ScenarioRun::scheduleResends(const RequestPtr &first, std::size_t times)
{
    for (std::size_t it = 1; it <= times; ++it) {
        m_state.events.scheduleAfter(it * m_state.settings.load.deadline, [this, first] {
            const auto resend = std::make_shared<ScenarioRequest>();
            resend->id = ++m_requests;
            resend->fingerprint = first->fingerprint;
            resend->poison = true;
            resend->organisation = first->organisation;
            admit(resend);
        });
    }
}

void ScenarioRun::admit(const RequestPtr &request)
{
    request->daemon = randomDaemon();
    if (request->daemon == nullptr) {
        return;
    }
    request->arrived = m_state.events.now();
    request->deadline = request->arrived + m_state.settings.load.deadline;
    if (!request->poison) {
        m_state.outcome.requests += 1;
        m_byOrganisation[request->organisation].first += 1;
    }
    if (request->daemon->poison.isQuarantined(request->fingerprint, m_state.events.now())) {
        request->finished = true;
        return;
    }
    beginStage(request);
}

StageRequirements ScenarioRun::stageRequirements(const RequestPtr &request) const
{
    std::vector<DeadlineBudget::Stage> stages;
    for (std::size_t it = request->stage; it < m_state.settings.stages.size(); ++it) {
        stages.push_back({m_state.settings.load.deadline, request->daemon->targets.bestCaseDuration(m_state.settings.stages[it])});
    }
    StageRequirements requirements;
    requirements.organisation = request->organisation;
    requirements.urgent = true;
    requirements.avoidedTargets = request->excludedTargets;
    requirements.suspect = request->daemon->poison.isSuspect(request->fingerprint, m_state.events.now());
    requirements.deadline = DeadlineBudget::stageDeadline(stages, m_state.events.now(), request->deadline);
    return requirements;
}

void ScenarioRun::beginStage(const RequestPtr &request)
{
    const StageRequirements requirements = stageRequirements(request);
    if (requirements.deadline <= m_state.events.now()) {
        refuse(request, RefusalCause::DeadlineUnreachable);
        return;
    }
    request->excludedTargets.clear();
    request->retryPolicy.emplace(m_state.settings.idempotent || m_state.isDisabled(ScenarioState::runOnceRule), maxAttempts,
                                 m_state.events.now(), requirements.deadline);
    attempt(request);
}

void ScenarioRun::attempt(const RequestPtr &request)
{
    if (request->finished || !request->daemon->up) {
        return;
    }
    RefusalCause localCause = RefusalCause::NoTarget;
    if (tryDaemon(*request->daemon, request, localCause)) {
        return;
    }
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        const bool reachable = it->dataCentre == request->daemon->dataCentre || (!it->partitioned && !request->daemon->partitioned);
        const bool hasUsablePool = it->targets.usablePools(m_state.events.now()).contains(m_state.settings.stages[request->stage]);
        RefusalCause ignored = localCause;
        if (it.get() != request->daemon && it->up && reachable && hasUsablePool && tryDaemon(*it, request, ignored)) {
            return;
        }
    }
    recordAttempt(request, {StageAttemptOutcome::NotSent, false, localCause});
}

bool ScenarioRun::tryDaemon(ScenarioDaemon &daemon, const RequestPtr &request, RefusalCause &cause)
{
    const std::string pool = m_state.settings.stages[request->stage];
    const StageRequirements requirements = stageRequirements(request);
    auto granted = std::make_shared<bool>(false);
    auto abandoned = std::make_shared<bool>(false);
    auto grant = [this, &daemon, request, granted, abandoned](TargetTable::GrantResult outcome) {
        *granted = true;
        m_state.events.scheduleAfter(Clock::Duration::zero(), [this, &daemon, request, abandoned, outcome = std::move(outcome)] {
            handleGrant(daemon, request, *abandoned, outcome);
        });
    };
    const TargetTable::AcquireResult acquired = daemon.targets.acquire(pool, requirements, m_state.events.now(), std::move(grant));
    if (const RefusalCause *refused = std::get_if<RefusalCause>(&acquired)) {
        cause = *refused;
        return false;
    }
    if (const Slot *slot = std::get_if<Slot>(&acquired)) {
        dispatch(daemon, request, *slot);
        return true;
    }
    const TargetTable::Ticket ticket = std::get<TargetTable::Ticket>(acquired);
    m_state.events.scheduleAt(requirements.deadline, [this, &daemon, request, granted, abandoned, pool, ticket] {
        if (*granted) {
            return;
        }
        *abandoned = true;
        daemon.targets.withdraw(pool, ticket);
        recordAttempt(request, {StageAttemptOutcome::NotSent, false, RefusalCause::Overloaded});
    });
    return true;
}

void ScenarioRun::handleGrant(ScenarioDaemon &daemon, const RequestPtr &request, bool abandoned, const TargetTable::GrantResult &granted)
{
    const Slot *slot = std::get_if<Slot>(&granted);
    if (slot == nullptr) {
        recordAttempt(request, {StageAttemptOutcome::NotSent, false, std::get<RefusalCause>(granted)});
    } else if (abandoned) {
        daemon.targets.release(*slot, StageAttemptOutcome::Withdrawn, m_state.events.now());
    } else {
        dispatch(daemon, request, *slot);
    }
}

void ScenarioRun::dispatch(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot)
{
    if (request->finished) {
        daemon.targets.release(slot, StageAttemptOutcome::Withdrawn, m_state.events.now());
        return;
    }
    ScenarioTarget &it = m_state.target(slot.target);
    const std::uint64_t knownEpoch = daemon.knownEpoch[slot.target];
    for (const std::string &name : {slot.target, it.parameters().dataCentre}) {
        const auto outSince = m_state.outOfServiceSince.find(name);
        if (outSince != m_state.outOfServiceSince.end() && m_state.events.now() - outSince->second > outOfServiceGracePeriod) {
            m_state.outcome.afterOut += 1;
        }
    }
    m_state.events.scheduleAfter(m_state.settings.latency, [this, &daemon, request, slot, knownEpoch, &it] {
        request->startedCalls += it.up() ? 1 : 0;
        it.call(request->poison, knownEpoch, [this, &daemon, request, slot](const ScenarioTarget::Reply &reply) {
            m_state.events.scheduleAfter(m_state.settings.latency,
                                         [this, &daemon, request, slot, reply] { handleReply(daemon, request, slot, reply); });
        });
    });
}

void ScenarioRun::handleReply(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot, const ScenarioTarget::Reply &reply)
{
    request->targetTime += reply.targetTime;
    if (reply.load) {
        recordReport(daemon, slot.pool, slot.target, *reply.load, reply.coldEpoch);
    }
    const bool late = m_state.events.now() >= request->deadline;
    const StageAttemptOutcome end = late && reply.end == StageAttemptOutcome::Answered ? StageAttemptOutcome::TimedOut : reply.end;
    daemon.targets.release(slot, end, m_state.events.now());
    if (!daemon.up || !request->daemon->up) {
        return;
    }
    request->run.recordAttempt(end);
    if (end != StageAttemptOutcome::Answered) {
        request->excludedTargets.push_back(Hash::of(slot.target));
    }
    if (end == StageAttemptOutcome::Lost) {
        recordTargetDeath(request, daemon, slot);
    }
    recordAttempt(request, {end, true, std::nullopt});
}

void ScenarioRun::recordTargetDeath(const RequestPtr &request, ScenarioDaemon &daemon, const Slot &slot)
{
    const std::optional<LoadReport> report = m_state.target(slot.target).probe();
    if (report && report->incarnation == slot.incarnation) {
        recordReport(daemon, slot.pool, slot.target, *report, m_state.target(slot.target).coldEpoch());
        return;
    }
    if (!report) {
        daemon.targets.probeFailed(slot.pool, slot.target, m_state.events.now());
    }
    if (m_state.isDisabled(ScenarioState::quarantineRule)) {
        return;
    }
    const Clock::TimePoint now = m_state.events.now();
    const std::size_t deaths = request->daemon->poison.recordDeath(request->fingerprint, now);
    for (const std::unique_ptr<ScenarioDaemon> &it : m_state.daemons) {
        ScenarioDaemon &other = *it;
        m_state.events.scheduleAfter(m_state.settings.latency, [this, &other, request, deaths] {
            other.poison.mergePeerDeaths(request->fingerprint, deaths, m_state.events.now());
        });
    }
}

void ScenarioRun::recordAttempt(const RequestPtr &request, const StageRetryPolicy::Attempt &attempted)
{
    if (request->finished) {
        return;
    }
    if (request->daemon->poison.isQuarantined(request->fingerprint, m_state.events.now())) {
        refuse(request, RefusalCause::Quarantined);
        return;
    }
    const std::string pool = m_state.settings.stages[request->stage];
    const bool budget = request->daemon->targets.retryAllowed(pool);
    const StageRetryPolicy::Action action = request->retryPolicy->nextAction(attempted, budget, m_state.events.now());
    if (action.spendsBudget) {
        request->daemon->targets.spendRetryToken(pool);
    }
    switch (action.step) {
    case StageRetryPolicy::Step::Retry:
        attempt(request);
        return;
    case StageRetryPolicy::Step::Hold:
        m_state.events.scheduleAfter(StageRetryPolicy::holdInterval, [this, request] { attempt(request); });
        return;
    case StageRetryPolicy::Step::Refuse:
        refuse(request, action.cause);
        return;
    case StageRetryPolicy::Step::Done:
        break;
    }
    request->daemon->poison.clearSuspect(request->fingerprint);
    ++request->stage;
    if (request->stage < m_state.settings.stages.size()) {
        beginStage(request);
        return;
    }
    request->finished = true;
    checkRunCount(request);
    const bool inTime = m_state.events.now() <= request->deadline;
    m_state.outcome.answered += inTime ? 1 : 0;
    m_byOrganisation[request->organisation].second += inTime ? 1 : 0;
}

void ScenarioRun::refuse(const RequestPtr &request, RefusalCause cause)
{
    request->finished = true;
    m_state.outcome.wastedSeconds += std::chrono::duration<double>(request->targetTime).count();
    const RunState run = m_state.isDisabled(ScenarioState::notRunRule) ? RunState::No : request->run.state();
    const Refusal refusal = RefusalTable::refusalFor(cause, run, m_state.settings.idempotent, {});
    m_state.traceEvent("refused " + std::to_string(request->id) + " with " + std::string(resultCodeInfo(refusal.code).name));
    const bool runBefore = cause == RefusalCause::Quarantined;
    if (refusal.run == RunState::No && request->startedCalls > 0 && !runBefore) {
        m_state.outcome.notRunFalse += 1;
    }
    checkRunCount(request);
    if (request->poison) {
        return;
    }
    if (refusal.run == RunState::No) {
        m_state.outcome.refusedNotRun += 1;
        m_refusalTimes.push_back(milliseconds(m_state.events.now() - request->arrived));
    } else {
        (refusal.run == RunState::Yes ? m_state.outcome.refusedRun : m_state.outcome.refusedUnknown) += 1;
    }
}

void ScenarioRun::checkRunCount(const RequestPtr &request)
{
    // Each stage needs one call; any further call means that a stage ran more than once.
    const std::size_t expectedCalls = std::min(request->stage + 1, m_state.settings.stages.size());
    if (!m_state.settings.idempotent && request->startedCalls > expectedCalls) {
        m_state.outcome.ranTwice += 1;
    }
}

} // namespace Guavalock

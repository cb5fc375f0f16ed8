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
constexpr std::chrono::milliseconds reportLife{2'000};
constexpr std::chrono::seconds outGrace{3}; ///< After which a data centre or target that is out gets no new work.
constexpr std::size_t attempts = 3;
constexpr std::size_t poisonSends = 3;

double milliseconds(Clock::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

ScenarioRun::ScenarioRun(const ScenarioSettings &settings, std::uint64_t seed, std::ostream *trace)
    : m_world(settings, seed, trace)
    , m_faults(m_world)
{
}

ScenarioRun::~ScenarioRun() = default;

ScenarioOutcome ScenarioRun::run()
{
    build();
    m_end = m_world.events.now() + m_world.settings.duration;
    m_faults.schedule();
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        probeLoop(*it);
    }
    // Targets are known before the first request arrives, as on daemons that have been running.
    m_world.events.after(std::chrono::milliseconds(500), [this] { scheduleArrival(); });
    m_world.events.runUntil(m_end + m_world.settings.load.deadline + std::chrono::seconds(1));
    for (const auto &[name, counts] : m_byOrganisation) {
        m_world.outcome.smallestShare = std::min(m_world.outcome.smallestShare, counts.second / counts.first);
    }
    if (!m_refusalTimes.empty()) {
        std::ranges::sort(m_refusalTimes);
        m_world.outcome.refusalMedian = m_refusalTimes[m_refusalTimes.size() / 2];
    }
    m_world.outcome.poisonExcess = std::max(0.0, m_world.outcome.deaths - 2 * m_world.outcome.poisons);
    return m_world.outcome;
}

void ScenarioRun::build()
{
    m_world.configuration.offset = 1;
    std::uint16_t port = 1;
    for (const ScenarioTargets &group : m_world.settings.targets) {
        PoolSettings &pool = m_world.configuration.pools[group.pool];
        pool.dialect = "service";
        pool.policy = m_world.settings.policy;
        for (std::size_t it = 0; it < group.count; ++it) {
            const double place = group.count > 1 ? static_cast<double>(it) / static_cast<double>(group.count - 1) : 0.0;
            const double factor = 1.0 + place * (group.slowest - 1.0);
            ScenarioTarget::Traits traits{group.pool + "-" + group.centre + "-" + std::to_string(it),
                                          group.pool,
                                          group.centre,
                                          group.slots,
                                          group.coldSlots,
                                          group.coldCalls,
                                          std::chrono::duration_cast<Clock::Duration>(group.call * factor)};
            pool.targets.push_back({traits.name, {"127.0.0.1", port++}, group.centre, group.slots, group.coldSlots});
            m_world.targets[traits.name] = std::make_unique<ScenarioTarget>(traits, m_world.events, m_world.random, m_world.outcome);
        }
    }
    for (const ScenarioCentre &centre : m_world.settings.centres) {
        std::vector<std::string> neighbours;
        for (std::size_t it = 0; it < centre.daemons; ++it) {
            neighbours.push_back(centre.name + "-" + std::to_string(it));
        }
        for (const std::string &it : neighbours) {
            const std::vector<std::string> known = m_world.breaks(ScenarioWorld::coldRule) ? std::vector<std::string>{it} : neighbours;
            m_world.daemons.push_back(std::make_unique<ScenarioDaemon>(TargetPool::Place{it, centre.name, known}, m_world.random()));
        }
    }
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        it->targets.adopt(m_world.configuration);
    }
}

void ScenarioRun::probeLoop(ScenarioDaemon &daemon)
{
    const Clock::TimePoint now = m_world.events.now();
    if (daemon.up) {
        std::vector<TargetTable::Probe> due = daemon.targets.dueProbes(now, reportLife);
        std::erase_if(due, [&](const TargetTable::Probe &it) { return daemon.asking.contains(it.target); });
        due.resize(daemon.probes.take(due.size(), now));
        for (const TargetTable::Probe &it : due) {
            daemon.asking.insert(it.target);
            m_world.events.after(2 * m_world.settings.latency, [this, &daemon, it] {
                daemon.asking.erase(it.target);
                if (const std::optional<LoadReport> report = m_world.target(it.target).probe()) {
                    sign(daemon, it.pool, it.target, *report, m_world.target(it.target).coldEpoch());
                } else {
                    daemon.targets.probeFailed(it.pool, it.target, m_world.events.now());
                }
            });
        }
        daemon.targets.serveWaiting(now);
    }
    if (now < m_end + m_world.settings.load.deadline) {
        m_world.events.after(probeInterval, [this, &daemon] { probeLoop(daemon); });
    }
}

void ScenarioRun::sign(ScenarioDaemon &daemon, const std::string &pool, const std::string &name, const LoadReport &report,
                       std::uint64_t epoch)
{
    daemon.knownEpoch[name] = epoch;
    if (!daemon.targets.reported(pool, name, report, m_world.events.now())) {
        return;
    }
    // A change is passed on to the neighbours at once; they take it as their own sign.
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        ScenarioDaemon &other = *it;
        if (&other != &daemon && other.centre == daemon.centre && other.up) {
            m_world.events.after(m_world.settings.latency, [this, &other, pool, name, report, epoch] {
                other.knownEpoch[name] = epoch;
                other.targets.learned(pool, name, report, m_world.events.now());
            });
        }
    }
}

void ScenarioRun::scheduleArrival()
{
    if (m_world.events.now() >= m_end) {
        return;
    }
    std::exponential_distribution<double> gap(m_world.settings.load.rate * m_world.rateFactor);
    const auto wait = std::chrono::duration_cast<Clock::Duration>(std::chrono::duration<double>(gap(m_world.random)));
    m_world.events.after(wait, [this] {
        arrive();
        scheduleArrival();
    });
}

ScenarioDaemon *ScenarioRun::anyDaemon()
{
    std::vector<ScenarioDaemon *> up;
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        if (it->up) {
            up.push_back(it.get());
        }
    }
    return up.empty() ? nullptr : up[m_world.random() % up.size()];
}

void ScenarioRun::arrive()
{
    const auto request = std::make_shared<ScenarioRequest>();
    request->id = ++m_requests;
    request->fingerprint = Hash::of(std::to_string(request->id));
    request->poison = m_world.settings.load.poisonEvery > 0 && request->id % m_world.settings.load.poisonEvery == 0;
    const bool large = m_world.settings.load.organisations == 1 || m_world.random() % 2 == 0;
    request->organisation = "organisation-" + std::to_string(large ? 0 : 1 + m_world.random() % (m_world.settings.load.organisations - 1));
    if (request->poison) {
        m_world.outcome.poisons += 1;
        sendAgain(request, poisonSends - 1);
    }
    admit(request);
}

void ScenarioRun::sendAgain(const RequestPtr &first, std::size_t times)
{
    for (std::size_t it = 1; it <= times; ++it) {
        m_world.events.after(it * m_world.settings.load.deadline, [this, first] {
            const auto again = std::make_shared<ScenarioRequest>();
            again->id = ++m_requests;
            again->fingerprint = first->fingerprint;
            again->poison = true;
            again->organisation = first->organisation;
            admit(again);
        });
    }
}

void ScenarioRun::admit(const RequestPtr &request)
{
    request->daemon = anyDaemon();
    if (request->daemon == nullptr) {
        return;
    }
    request->arrived = m_world.events.now();
    request->deadline = request->arrived + m_world.settings.load.deadline;
    if (!request->poison) {
        m_world.outcome.requests += 1;
        m_byOrganisation[request->organisation].first += 1;
    }
    if (request->daemon->poison.quarantined(request->fingerprint, m_world.events.now())) {
        request->over = true;
        return;
    }
    beginStage(request);
}

StageDemand ScenarioRun::demand(const RequestPtr &request) const
{
    std::vector<DeadlineBudget::Stage> stages;
    for (std::size_t it = request->stage; it < m_world.settings.stages.size(); ++it) {
        stages.push_back({m_world.settings.load.deadline, request->daemon->targets.bestDuration(m_world.settings.stages[it])});
    }
    StageDemand demand;
    demand.organisation = request->organisation;
    demand.urgent = true;
    demand.avoid = request->avoid;
    demand.suspect = request->daemon->poison.suspect(request->fingerprint, m_world.events.now());
    demand.deadline = DeadlineBudget::stageEnd(stages, m_world.events.now(), request->deadline);
    return demand;
}

void ScenarioRun::beginStage(const RequestPtr &request)
{
    const StageDemand wanted = demand(request);
    if (wanted.deadline <= m_world.events.now()) {
        giveUp(request, RefusalCause::DeadlineUnreachable);
        return;
    }
    request->avoid.clear();
    request->course.emplace(m_world.settings.idempotent || m_world.breaks(ScenarioWorld::onceRule), attempts, m_world.events.now(),
                            wanted.deadline);
    attempt(request);
}

void ScenarioRun::attempt(const RequestPtr &request)
{
    if (request->over || !request->daemon->up) {
        return;
    }
    RefusalCause first = RefusalCause::NoTarget;
    if (tryAt(*request->daemon, request, first)) {
        return;
    }
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        const bool reachable = it->centre == request->daemon->centre || (!it->cut && !request->daemon->cut);
        const bool useful = it->targets.usablePools(m_world.events.now()).contains(m_world.settings.stages[request->stage]);
        RefusalCause ignored = first;
        if (it.get() != request->daemon && it->up && reachable && useful && tryAt(*it, request, ignored)) {
            return;
        }
    }
    ended(request, {AttemptEnd::NotSent, false, first});
}

bool ScenarioRun::tryAt(ScenarioDaemon &daemon, const RequestPtr &request, RefusalCause &cause)
{
    const std::string pool = m_world.settings.stages[request->stage];
    const StageDemand wanted = demand(request);
    auto granted = std::make_shared<bool>(false);
    auto abandoned = std::make_shared<bool>(false);
    auto grant = [this, &daemon, request, granted, abandoned](TargetTable::Granted outcome) {
        *granted = true;
        m_world.events.after(Clock::Duration::zero(), [this, &daemon, request, abandoned, outcome = std::move(outcome)] {
            takeGrant(daemon, request, *abandoned, outcome);
        });
    };
    const TargetTable::Acquired acquired = daemon.targets.acquire(pool, wanted, m_world.events.now(), std::move(grant));
    if (const RefusalCause *refused = std::get_if<RefusalCause>(&acquired)) {
        cause = *refused;
        return false;
    }
    if (const Slot *slot = std::get_if<Slot>(&acquired)) {
        dispatch(daemon, request, *slot);
        return true;
    }
    const TargetTable::Ticket ticket = std::get<TargetTable::Ticket>(acquired);
    m_world.events.at(wanted.deadline, [this, &daemon, request, granted, abandoned, pool, ticket] {
        if (*granted) {
            return;
        }
        *abandoned = true;
        daemon.targets.withdraw(pool, ticket);
        ended(request, {AttemptEnd::NotSent, false, RefusalCause::Overloaded});
    });
    return true;
}

void ScenarioRun::takeGrant(ScenarioDaemon &daemon, const RequestPtr &request, bool abandoned, const TargetTable::Granted &granted)
{
    const Slot *slot = std::get_if<Slot>(&granted);
    if (slot == nullptr) {
        ended(request, {AttemptEnd::NotSent, false, std::get<RefusalCause>(granted)});
    } else if (abandoned) {
        daemon.targets.release(*slot, AttemptEnd::Withdrawn, m_world.events.now());
    } else {
        dispatch(daemon, request, *slot);
    }
}

void ScenarioRun::dispatch(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot)
{
    if (request->over) {
        daemon.targets.release(slot, AttemptEnd::Withdrawn, m_world.events.now());
        return;
    }
    ScenarioTarget &it = m_world.target(slot.target);
    const std::uint64_t knownEpoch = daemon.knownEpoch[slot.target];
    for (const std::string &name : {slot.target, it.traits().centre}) {
        const auto out = m_world.outSince.find(name);
        if (out != m_world.outSince.end() && m_world.events.now() - out->second > outGrace) {
            m_world.outcome.afterOut += 1;
        }
    }
    m_world.events.after(m_world.settings.latency, [this, &daemon, request, slot, knownEpoch, &it] {
        request->runs += it.up() ? 1 : 0;
        it.call(request->poison, knownEpoch, [this, &daemon, request, slot](const ScenarioTarget::Reply &reply) {
            m_world.events.after(m_world.settings.latency,
                                 [this, &daemon, request, slot, reply] { replied(daemon, request, slot, reply); });
        });
    });
}

void ScenarioRun::replied(ScenarioDaemon &daemon, const RequestPtr &request, const Slot &slot, const ScenarioTarget::Reply &reply)
{
    request->busy += reply.busy;
    if (reply.load) {
        sign(daemon, slot.pool, slot.target, *reply.load, reply.coldEpoch);
    }
    const bool late = m_world.events.now() >= request->deadline;
    const AttemptEnd end = late && reply.end == AttemptEnd::Answered ? AttemptEnd::TimedOut : reply.end;
    daemon.targets.release(slot, end, m_world.events.now());
    if (!daemon.up || !request->daemon->up) {
        return;
    }
    request->run.ended(end);
    if (end != AttemptEnd::Answered) {
        request->avoid.push_back(Hash::of(slot.target));
    }
    if (end == AttemptEnd::Lost) {
        noteDeath(request, daemon, slot);
    }
    ended(request, {end, true, std::nullopt});
}

void ScenarioRun::noteDeath(const RequestPtr &request, ScenarioDaemon &daemon, const Slot &slot)
{
    const std::optional<LoadReport> report = m_world.target(slot.target).probe();
    if (report && report->incarnation == slot.incarnation) {
        sign(daemon, slot.pool, slot.target, *report, m_world.target(slot.target).coldEpoch());
        return;
    }
    if (!report) {
        daemon.targets.probeFailed(slot.pool, slot.target, m_world.events.now());
    }
    if (m_world.breaks(ScenarioWorld::poisonRule)) {
        return;
    }
    const Clock::TimePoint now = m_world.events.now();
    const std::size_t deaths = request->daemon->poison.died(request->fingerprint, now);
    for (const std::unique_ptr<ScenarioDaemon> &it : m_world.daemons) {
        ScenarioDaemon &other = *it;
        m_world.events.after(m_world.settings.latency,
                             [this, &other, request, deaths] { other.poison.learned(request->fingerprint, deaths, m_world.events.now()); });
    }
}

void ScenarioRun::ended(const RequestPtr &request, const StageCourse::Attempt &attempted)
{
    if (request->over) {
        return;
    }
    if (request->daemon->poison.quarantined(request->fingerprint, m_world.events.now())) {
        giveUp(request, RefusalCause::Quarantined);
        return;
    }
    const std::string pool = m_world.settings.stages[request->stage];
    const bool budget = request->daemon->targets.retryAllowed(pool);
    const StageCourse::Action action = request->course->after(attempted, budget, m_world.events.now());
    if (action.spendsBudget) {
        request->daemon->targets.spendRetry(pool);
    }
    switch (action.step) {
    case StageCourse::Step::Retry:
        attempt(request);
        return;
    case StageCourse::Step::Hold:
        m_world.events.after(StageCourse::holdInterval, [this, request] { attempt(request); });
        return;
    case StageCourse::Step::Refuse:
        giveUp(request, action.cause);
        return;
    case StageCourse::Step::Done:
        break;
    }
    request->daemon->poison.cleared(request->fingerprint);
    ++request->stage;
    if (request->stage < m_world.settings.stages.size()) {
        beginStage(request);
        return;
    }
    request->over = true;
    noteRuns(request);
    const bool inTime = m_world.events.now() <= request->deadline;
    m_world.outcome.answered += inTime ? 1 : 0;
    m_byOrganisation[request->organisation].second += inTime ? 1 : 0;
}

void ScenarioRun::giveUp(const RequestPtr &request, RefusalCause cause)
{
    request->over = true;
    m_world.outcome.wastedSeconds += std::chrono::duration<double>(request->busy).count();
    const RunState run = m_world.breaks(ScenarioWorld::notRunRule) ? RunState::No : request->run.state();
    const Refusal refusal = RefusalTable::refusal(cause, run, m_world.settings.idempotent, {});
    m_world.note("refused " + std::to_string(request->id) + " with " + std::string(resultCodeInfo(refusal.code).name));
    const bool runBefore = cause == RefusalCause::Quarantined;
    if (refusal.run == RunState::No && request->runs > 0 && !runBefore) {
        m_world.outcome.notRunFalse += 1;
    }
    noteRuns(request);
    if (request->poison) {
        return;
    }
    if (refusal.run == RunState::No) {
        m_world.outcome.refusedNotRun += 1;
        m_refusalTimes.push_back(milliseconds(m_world.events.now() - request->arrived));
    } else {
        (refusal.run == RunState::Yes ? m_world.outcome.refusedRun : m_world.outcome.refusedUnknown) += 1;
    }
}

void ScenarioRun::noteRuns(const RequestPtr &request)
{
    // Each stage begins one call; a call more is a call twice.
    const std::size_t begun = std::min(request->stage + 1, m_world.settings.stages.size());
    if (!m_world.settings.idempotent && request->runs > begun) {
        m_world.outcome.ranTwice += 1;
    }
}

} // namespace Guavalock

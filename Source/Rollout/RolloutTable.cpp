#include "Rollout/RolloutTable.h"

#include "Decisions/Hash.h"
#include "Fleet/TargetRequirements.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Rollout/RolloutEvidence.h"

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace
{

/// Records of a service that arrive within this time of its first one are those that were there before.
constexpr std::chrono::seconds firstReadTime{1};
constexpr std::size_t maxVersions = 16; ///< Of a service whose first sight is remembered.
constexpr std::array<const char *, 3> statusNames{"in_progress", "completed", "rolled_back"};

} // namespace

RolloutTable::RolloutTable(std::optional<RolloutLimits> limits, Metrics &metrics)
    : m_limits(limits)
    , m_metrics(metrics)
{
}

RolloutTable::~RolloutTable() = default;

RolloutTable::Service &RolloutTable::service(const std::string &name)
{
    return m_services.try_emplace(name, *m_limits).first->second;
}

Counter &RolloutTable::counter(const std::string &name, const std::string &service, bool isNew)
{
    return m_metrics.counter(name + "{service=\"" + service + "\",version=\"" + (isNew ? "new" : "other") + "\"}");
}

void RolloutTable::applyOrder(const RolloutOrder &order, Clock::TimePoint now)
{
    if (!m_limits) {
        Log::warning("rollout", "order-ignored", {{"service", order.service}, {"reason", "the settings state no limits of exposure"}});
        return;
    }
    bool changed = false;
    {
        const std::scoped_lock lock(m_mutex);
        Service &found = service(order.service);
        const std::optional<RolloutOrder> before = found.gate.order();
        changed = found.gate.applyOrder(order, now);
        if (changed && !order.version.empty() && (!before || before->version != order.version)) {
            found.ledger.restart();
        }
    }
    if (changed) {
        Log::info("rollout", order.version.empty() ? "order-deleted" : "order",
                  {{"service", order.service}, {"to", order.version}, {"duration_ms", std::to_string(order.duration.count())}});
    }
}

void RolloutTable::applyStatus(const std::string &name, const std::optional<RolloutStatus> &status)
{
    if (!m_limits) {
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        Service &found = service(name);
        found.isStatusLost = false;
        if (found.status == status) {
            return;
        }
        found.status = status;
        if (status) {
            found.gate.applyStatus(*status);
        }
    }
    Log::info("rollout", "status",
              {{"service", name},
               {"state", status ? statusNames.at(static_cast<std::size_t>(status->state)) : "deleted"},
               {"to", status ? status->version : ""}});
    if (status) {
        const std::string state = statusNames.at(static_cast<std::size_t>(status->state));
        m_metrics.counter("rollout_states_total{service=\"" + name + "\",state=\"" + state + "\"}").add();
    }
}

void RolloutTable::markStatusesLost()
{
    const std::scoped_lock lock(m_mutex);
    for (auto &[name, it] : m_services) {
        it.isStatusLost = it.status.has_value();
    }
}

void RolloutTable::applyState(const RolloutState &state, Clock::TimePoint now)
{
    if (!m_limits) {
        return;
    }
    bool withdrawn = false;
    {
        const std::scoped_lock lock(m_mutex);
        Service &found = service(state.service);
        const bool before = found.gate.isWithdrawn(state.version);
        found.gate.applyState(state, now);
        withdrawn = !before && found.gate.isWithdrawn(state.version);
    }
    if (withdrawn) {
        Log::info("rollout", "version-withdrawn", {{"service", state.service}, {"to", state.version}});
    }
}

void RolloutTable::learnStart(const std::string &name, const std::string &version, Clock::TimePoint start)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_services.find(name);
    if (it != m_services.end() && it->second.gate.order() && it->second.gate.order()->version == version) {
        it->second.gate.learnStart(start);
    }
}

std::vector<RolloutTable::Order> RolloutTable::orders() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Order> found;
    for (const auto &[name, it] : m_services) {
        if (it.gate.order()) {
            const RolloutOrder &order = *it.gate.order();
            found.push_back({order, it.gate.orderStart(), it.status, it.gate.isWithdrawn(order.version), it.isStatusLost});
        } else if (it.status && (!it.status->isFinal() || it.isStatusLost)) {
            found.push_back({RolloutOrder{name, {}, {}}, {}, it.status, true, it.isStatusLost});
        }
    }
    return found;
}

double RolloutTable::confirmedShare(const std::string &name, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_services.find(name);
    return it == m_services.end() ? 0 : it->second.gate.confirmedShare(now);
}

RolloutEvidence RolloutTable::evidence(const std::string &name, Clock::TimePoint now) const
{
    RolloutEvidence evidence;
    const std::scoped_lock lock(m_mutex);
    const auto it = m_services.find(name);
    if (it == m_services.end() || !it->second.gate.order()) {
        return evidence;
    }
    const AttemptLedger::InProgress inProgress = it->second.ledger.inProgress();
    evidence.service = name;
    evidence.version = it->second.gate.order()->version;
    evidence.orderStart = it->second.gate.orderStart();
    evidence.inProgressNew = inProgress.newVersion;
    evidence.inProgressOther = inProgress.otherVersions;
    evidence.routes = it->second.ledger.counts(now);
    return evidence;
}

VersionPlan RolloutTable::plan(const TargetRequirements &requirements, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    VersionPlan plan;
    const auto it = m_services.find(requirements.service);
    if (it != m_services.end()) {
        plan = it->second.gate.plan(requirements.route, requirements.isRepetition, Hash::of(requirements.requestId), now);
    }
    const auto versions = m_versions.find(requirements.service);
    if (!m_limits || versions == m_versions.end() || versions->second.size() < 2) {
        return plan;
    }
    const Clock::TimePoint first = std::ranges::min_element(versions->second, {}, [](const auto &known) { return known.second; })->second;
    for (const auto &[version, since] : versions->second) {
        if (version != plan.version && since > first + firstReadTime && now < since + confirmationTime) {
            plan.unconfirmed.insert(version);
        }
    }
    return plan;
}

std::uint64_t RolloutTable::recordSend(const Attempt &attempt, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_services.find(attempt.service);
    if (it == m_services.end()) {
        return 0;
    }
    RolloutGate &gate = it->second.gate;
    gate.recordSend(attempt.route, attempt.version, attempt.isRepetition, now);
    if (!gate.order()) {
        return 0;
    }
    const bool isNew = attempt.version == gate.order()->version;
    counter("rollout_attempts_total", attempt.service, isNew).add();
    m_attempts[++m_lastAttempt] = attempt.service;
    it->second.ledger.recordSend(m_lastAttempt, attempt.route, isNew, attempt.isCold, now);
    return m_lastAttempt;
}

void RolloutTable::recordResponseStart(std::uint64_t attempt, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_attempts.find(attempt); it != m_attempts.end()) {
        service(it->second).ledger.recordResponseStart(attempt, now);
    }
}

void RolloutTable::recordEnd(std::uint64_t attempt, AttemptReport::Outcome outcome, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto node = m_attempts.extract(attempt)) {
        const std::optional<bool> failure = service(node.mapped()).ledger.recordEnd(attempt, outcome, now);
        if (failure) {
            counter("rollout_failures_total", node.mapped(), *failure).add();
        }
    }
}

void RolloutTable::recordVersion(const std::string &name, const std::string &version, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, Clock::TimePoint> &versions = m_versions[name];
    versions.try_emplace(version, now);
    if (versions.size() > maxVersions) {
        versions.erase(std::ranges::max_element(versions, {}, [](const auto &known) { return known.second; }));
    }
}

} // namespace Guavalock

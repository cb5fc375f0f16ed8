#include "Decisions/Hash.h"
#include "Fleet/ColdTargetQuota.h"
#include "Fleet/FleetTable.h"
#include "Fleet/ServiceRecord.h"
#include "Fleet/TargetChooser.h"
#include "Fleet/VersionFilter.h"

#include <algorithm>
#include <array>

namespace Guavalock
{

bool FleetTable::withinColdRate(FleetTarget &target, const ServiceRecord &service, Clock::TimePoint now) const
{
    if (service.coldRequestRate <= 0 || !target.isCold(now)) {
        return true;
    }
    const std::string &id = target.record().id;
    ColdQuota &quota = m_coldQuotas[id];
    if (quota.rate != service.coldRequestRate) {
        quota = {service.coldRequestRate, ColdTargetQuota::requestsPerSecond(id, service.coldRequestRate, m_vm, m_senders)};
    }
    return target.recentRequests(now) < quota.requests;
}

std::size_t FleetTable::limitedTurns(const TargetRequirements &requirements, Clock::TimePoint now)
{
    const auto waiting = m_waiting.find(requirements.service);
    const std::size_t ahead = waiting == m_waiting.end() ? 0 : waiting->second.ahead(requirements.requestId, requirements.rank);
    if (ahead == 0) {
        return m_targets.size();
    }
    std::size_t free = 0;
    for (auto &[id, target] : m_targets) {
        const bool isUsable = target.record().service == requirements.service && acceptsWork(target, now);
        if (isUsable && sharedLimit(target, now).timeUntilAllowed(now) == Clock::Duration::zero()) {
            ++free;
        }
    }
    return free > ahead ? free - ahead : 0;
}

FleetTarget *FleetTable::chooseAmong(const std::vector<FleetTarget *> &targets, const TargetRequirements &requirements,
                                     Clock::TimePoint now)
{
    std::vector<TargetChooser::Candidate> candidates;
    candidates.reserve(targets.size());
    for (const FleetTarget *it : targets) {
        const bool near = requirements.dataCentre.empty() || it->record().dataCentre == requirements.dataCentre;
        const double latency = std::chrono::duration<double>(it->typicalLatency()).count();
        candidates.push_back({it->record().id, near, it->load(now), it->health(), latency});
    }
    const auto &chooser = m_choosers.at(requirements.affinity != 0 ? "prompt-affinity" : "least-loaded");
    return targets[chooser->choose(candidates, requirements.affinity, m_random)];
}

VersionPlan FleetTable::versionPlan(const TargetRequirements &requirements, Clock::TimePoint now) const
{
    return m_versions == nullptr ? VersionPlan() : m_versions->plan(requirements, now);
}

void FleetTable::concentrate(std::vector<FleetTarget *> &targets, const VersionPlan &plan, std::size_t others)
{
    const auto wanted = static_cast<std::size_t>(plan.share * static_cast<double>(others));
    const std::size_t count = std::max<std::size_t>(wanted, 1);
    if (plan.share >= 1 || targets.size() <= count) {
        return;
    }
    // All daemons sort alike, so they use the same targets.
    std::ranges::sort(targets, {}, [](const FleetTarget *it) { return Hash::of(it->record().id); });
    targets.resize(count);
}

bool FleetTable::isUsable(FleetTarget &target, const VersionPlan &plan, const ServiceRecord &service, Clock::TimePoint now) const
{
    const bool isNew = !plan.version.empty() && target.record().version == plan.version;
    if (isNew && plan.warmOnly && (target.isCold(now) || target.isSuspect(now))) {
        return false;
    }
    return acceptsWork(target, now) && withinColdRate(target, service, now);
}

FleetTarget *FleetTable::selectTarget(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now,
                                      Reason &reason)
{
    /// Usable targets by VersionPlan::Use, without `Never`. Suspect targets come after others, and those already tried after these.
    std::array<std::array<std::vector<FleetTarget *>, 3>, 3> groups;
    const VersionPlan plan = versionPlan(requirements, now);
    std::size_t known = 0;
    std::size_t knownPreferred = 0;
    std::size_t otherVersions = 0;
    std::size_t exhausted = 0;
    const std::size_t turns = limitedTurns(requirements, now);
    const bool isPlaced = !requirements.placedTarget.empty();
    for (auto &[id, target] : m_targets) {
        if (target.record().service != requirements.service || (isPlaced && id != requirements.placedTarget)) {
            continue;
        }
        ++known;
        const VersionPlan::Use use = plan.useOf(target.record().version);
        if (use == VersionPlan::Use::Never) {
            continue;
        }
        knownPreferred += use == VersionPlan::Use::Preferred ? 1 : 0;
        otherVersions += target.record().version == plan.version ? 0 : 1;
        if (!isUsable(target, plan, service, now)) {
            continue;
        }
        const RequestLimit &limit = sharedLimit(target, now);
        if (limit.isLimited() && (turns == 0 || limit.timeUntilAllowed(now) > Clock::Duration::zero())) {
            ++exhausted;
            continue;
        }
        const std::size_t order = requirements.triedTargets.contains(id) ? 2 : target.isSuspect(now) ? 1 : 0;
        groups.at(static_cast<std::size_t>(use)).at(order).push_back(&target);
    }
    auto &[preferred, fallback, last] = groups;
    const bool prefersNew = !plan.version.empty() && plan.newVersion == VersionPlan::Use::Preferred;
    if (isPlaced) {
        // Another daemon has selected the target. It is used only where this daemon would select it as well.
        return prefersNew || preferred.front().empty() ? nullptr : preferred.front().front();
    }
    if (prefersNew) {
        concentrate(preferred.front(), plan, otherVersions);
    }
    for (std::size_t it = 0; it < preferred.size(); ++it) {
        for (const std::vector<FleetTarget *> *group : {&preferred.at(it), &fallback.at(it)}) {
            if (!group->empty()) {
                return chooseAmong(*group, requirements, now);
            }
        }
    }
    for (const std::vector<FleetTarget *> &it : last) {
        if (knownPreferred == 0 && !it.empty()) {
            return chooseAmong(it, requirements, now);
        }
    }
    reason = {ResultCode::NoTarget,
              "none of the " + std::to_string(known) + " known targets of service " + requirements.service + " is available, "
                  + std::to_string(exhausted) + " of them because of the limits that they have stated"};
    return nullptr;
}

std::optional<SelectedTarget> FleetTable::choose(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now,
                                                 Reason &reason)
{
    const std::scoped_lock lock(m_mutex);
    FleetTarget *target = selectTarget(requirements, service, now, reason);
    if (target == nullptr) {
        return std::nullopt;
    }
    target->recordRequest(requirements.promptTokens, now);
    target->availability().limit().recordRequest(now);
    const TargetRecord &record = target->record();
    std::uint64_t attempt = 0;
    if (m_versions != nullptr) {
        attempt = m_versions->recordSend(
            {record.service, requirements.route, record.version, requirements.isRepetition, target->isCold(now)}, now);
    }
    return SelectedTarget{
        record.id, record.address, record.dataCentre, requirements.service, target->typicalLatency(), target->availability().startTime(),
        attempt};
}

std::string FleetTable::predictDataCentre(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Reason reason;
    const FleetTarget *target = selectTarget(requirements, service, now, reason);
    return target == nullptr ? std::string() : target->record().dataCentre;
}

std::vector<PlacementCandidate> FleetTable::placementCandidates(const ServiceRecord &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const VersionPlan plan = versionPlan({.service = service.name}, now);
    std::vector<PlacementCandidate> candidates;
    for (const auto &[id, target] : m_targets) {
        const TargetRecord &record = target.record();
        if (record.service != service.name) {
            continue;
        }
        // While a new version gets a share only, each daemon decides by itself which requests it sends there.
        const bool isNew = !plan.version.empty() && record.version == plan.version;
        const VersionPlan::Use use = plan.useOf(record.version);
        const bool isExcluded = use == VersionPlan::Use::Never || use == VersionPlan::Use::IfNoneKnown || (isNew && plan.share < 1);
        const bool isWarm = service.coldRequestRate <= 0 || !target.isCold(now);
        const bool isUsable
            = !isExcluded && acceptsWork(target, now) && isWarm && !target.isSuspect(now) && !target.availability().limit().isLimited();
        candidates.push_back({id, record.dataCentre, record.startTime, isUsable});
    }
    return candidates;
}

std::vector<SelectedTarget> FleetTable::availableTargets(const std::string &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    // While a share of the calls goes to a new version, the time takes the place of a request's id.
    const TargetRequirements requirements{.service = service, .requestId = std::to_string(now.time_since_epoch().count())};
    const VersionPlan plan = versionPlan(requirements, now);
    const auto isPreferred = [&](const auto &it) {
        return it.second.record().service == service && plan.useOf(it.second.record().version) == VersionPlan::Use::Preferred;
    };
    const bool knowsPreferred = std::ranges::any_of(m_targets, isPreferred);
    // Within the credit, a call to the new version is possible, but the other targets are needed as well.
    const bool needsOthers = plan.warmOnly || std::ranges::none_of(m_targets, [&](const auto &it) {
                                 return isPreferred(it) && acceptsWork(it.second, now) && !it.second.isSuspect(now);
                             });
    std::vector<SelectedTarget> found;
    std::vector<SelectedTarget> missing;
    std::size_t newCalls = 0;
    for (auto &[id, target] : m_targets) {
        const TargetRecord &record = target.record();
        if (record.service != service || !acceptsWork(target, now)) {
            continue;
        }
        const VersionPlan::Use use = plan.useOf(record.version);
        const bool isNew = !plan.version.empty() && record.version == plan.version;
        const bool isExcluded = use == VersionPlan::Use::Never || (use == VersionPlan::Use::IfNoneKnown && knowsPreferred)
            || (use == VersionPlan::Use::IfNoneAvailable && !needsOthers)
            || (isNew && use == VersionPlan::Use::Preferred && (newCalls >= plan.maxCalls || (plan.warmOnly && target.isCold(now))));
        if (isExcluded) {
            continue;
        }
        if (!target.isSuspect(now)) {
            found.push_back({id, record.address, record.dataCentre, service, {}, target.availability().startTime()});
            newCalls += isNew ? 1 : 0;
        } else if (target.isMissing(now)) {
            missing.push_back({id, record.address, record.dataCentre, service, {}, target.availability().startTime()});
        }
    }
    return found.empty() ? missing : found;
}

FleetTable::VersionCapacity FleetTable::versionCapacity(const std::string &service, const std::string &version, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    VersionCapacity capacity;
    for (const auto &[id, target] : m_targets) {
        if (target.record().service != service) {
            continue;
        }
        if (target.record().version != version) {
            ++capacity.otherTargets;
            continue;
        }
        ++capacity.targets;
        if (acceptsWork(target, now) && !target.isCold(now) && !target.isSuspect(now)) {
            capacity.slots += std::max(target.record().slots, 1.0);
        }
    }
    return capacity;
}

} // namespace Guavalock

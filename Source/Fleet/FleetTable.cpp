#include "Fleet/FleetTable.h"
#include "Fleet/ColdTargetQuota.h"

#include "Decisions/AvailabilityStatement.h"
#include "Decisions/Hash.h"
#include "Fleet/ServiceRecord.h"
#include "Fleet/TargetChooser.h"
#include "Kernel/Registry.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::chrono::seconds defaultColdTime{3}; ///< Cold-start time used where the value configured for the service is not available.
constexpr std::size_t maxUnlisted = 1'024; ///< Targets without a record whose statements are remembered.

} // namespace

FleetTable::FleetTable(std::string vm)
    : m_vm(std::move(vm))
    , m_choosers(Registry<TargetChooser>::instance().createAll())
    , m_random(Hash::of(m_vm))
{
}

FleetTable::~FleetTable() = default;

bool FleetTable::update(const TargetRecord &record, std::uint64_t offset, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(record.id);
    if (it == m_targets.end()) {
        FleetTarget &target = m_targets.emplace(record.id, FleetTarget(record, offset, now)).first->second;
        if (const auto unlisted = m_unlisted.find(record.id); unlisted != m_unlisted.end()) {
            target.availability() = unlisted->second;
            target.availability().setStartTime(record.startTime);
        }
        return true;
    }
    if (offset <= it->second.offset()) {
        return false;
    }
    const TargetRecord &before = it->second.record();
    const bool changed = before.draining != record.draining || before.startTime != record.startTime || before.address != record.address;
    it->second.update(record, offset, now);
    return changed;
}

bool FleetTable::remove(const std::string &id, std::uint64_t offset)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(id);
    if (it == m_targets.end() || offset < it->second.offset()) {
        return false;
    }
    if (it->second.availability().hasStatements()) {
        unlistedAvailability(id, it->second.record().startTime) = it->second.availability();
    }
    m_targets.erase(it);
    m_coldQuotas.erase(id);
    return true;
}

void FleetTable::markMissing(const std::string &id, Clock::TimePoint until)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.markMissing(until);
    }
}

void FleetTable::setEvacuated(const std::string &dataCentre, bool evacuated, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (evacuated) {
        m_evacuated.insert(dataCentre);
        return;
    }
    if (m_evacuated.erase(dataCentre) == 0) {
        return;
    }
    for (auto &[id, target] : m_targets) {
        if (target.record().dataCentre == dataCentre) {
            target.markCold(defaultColdTime, now);
        }
    }
}

void FleetTable::setColdMembers(std::vector<std::string> members)
{
    const std::scoped_lock lock(m_mutex);
    if (members != m_coldMembers) {
        m_coldMembers = std::move(members);
        m_coldQuotas.clear();
    }
}

void FleetTable::markAllCold(Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    for (auto &[id, target] : m_targets) {
        target.markCold(defaultColdTime, now);
    }
}

TargetAvailability &FleetTable::unlistedAvailability(const std::string &id, std::chrono::milliseconds startTime)
{
    const auto [it, added] = m_unlisted.try_emplace(id, startTime);
    it->second.setStartTime(startTime);
    if (added) {
        m_unlistedOrder.push_back(id);
    }
    if (m_unlistedOrder.size() > maxUnlisted) {
        m_unlisted.erase(m_unlistedOrder.front());
        m_unlistedOrder.pop_front();
    }
    return it->second;
}

bool FleetTable::recordStatement(const SelectedTarget &target, const AvailabilityStatement &statement, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(target.id);
    if (it != m_targets.end()) {
        return it->second.availability().apply(statement, target.startTime, now);
    }
    const bool isRemembered = m_unlisted.contains(target.id);
    if (statement.isEmpty() && !isRemembered) {
        return false;
    }
    return unlistedAvailability(target.id, target.startTime).apply(statement, target.startTime, now);
}

bool FleetTable::isAvailable(const std::string &id, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(id);
    return it != m_targets.end() && it->second.availability().state(now) == TargetAvailability::State::Available;
}

std::optional<Clock::Duration> FleetTable::timeUntilAvailable(const std::string &service, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    std::optional<Clock::Duration> time;
    for (const auto &[id, target] : m_targets) {
        const TargetAvailability::State state = target.availability().state(now);
        if (target.record().service != service || (state != TargetAvailability::State::Leaving && !isInService(target))) {
            continue;
        }
        if (state == TargetAvailability::State::Available) {
            return std::nullopt;
        }
        const Clock::Duration left = target.availability().remainingPause(now).value_or(Clock::Duration::max());
        time = std::min(time.value_or(left), left);
    }
    return time;
}

bool FleetTable::acceptsWork(const FleetTarget &target, Clock::TimePoint now) const
{
    return isInService(target) && target.availability().state(now) == TargetAvailability::State::Available;
}

bool FleetTable::isInService(const FleetTarget &target) const
{
    return !target.record().draining && !m_evacuated.contains(target.record().dataCentre);
}

bool FleetTable::withinColdRate(FleetTarget &target, const ServiceRecord &service, Clock::TimePoint now) const
{
    if (service.coldRequestRate <= 0 || !target.isCold(now)) {
        return true;
    }
    const std::string &id = target.record().id;
    ColdQuota &quota = m_coldQuotas[id];
    if (quota.rate != service.coldRequestRate) {
        quota = {service.coldRequestRate, ColdTargetQuota::requestsPerSecond(id, service.coldRequestRate, m_vm, m_coldMembers)};
    }
    return target.recentRequests(now) < quota.requests;
}

FleetTarget *FleetTable::selectTarget(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now,
                                      Reason &reason)
{
    std::vector<FleetTarget *> found;
    std::vector<FleetTarget *> suspects;
    std::vector<FleetTarget *> tried;
    std::size_t known = 0;
    for (auto &[id, target] : m_targets) {
        if (target.record().service != requirements.service) {
            continue;
        }
        ++known;
        if (!acceptsWork(target, now) || !withinColdRate(target, service, now)) {
            continue;
        }
        std::vector<FleetTarget *> &group = requirements.triedTargets.contains(id) ? tried : target.isSuspect(now) ? suspects : found;
        group.push_back(&target);
    }
    // Fall back to suspect targets, then to targets that were already tried.
    const std::vector<FleetTarget *> &group = !found.empty() ? found : !suspects.empty() ? suspects : tried;
    if (group.empty()) {
        reason = {ResultCode::NoTarget,
                  "none of the " + std::to_string(known) + " known targets of service " + requirements.service + " is available"};
        return nullptr;
    }
    std::vector<TargetChooser::Candidate> candidates;
    candidates.reserve(group.size());
    for (const FleetTarget *it : group) {
        const bool near = requirements.dataCentre.empty() || it->record().dataCentre == requirements.dataCentre;
        const double latency = std::chrono::duration<double>(it->typicalLatency()).count();
        candidates.push_back({it->record().id, near, it->load(now), it->health(), latency});
    }
    const auto &chooser = m_choosers.at(requirements.affinity != 0 ? "prompt-affinity" : "least-loaded");
    return group[chooser->choose(candidates, requirements.affinity, m_random)];
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
    const TargetRecord &record = target->record();
    return SelectedTarget{
        record.id, record.address, record.dataCentre, requirements.service, target->typicalLatency(), target->availability().startTime()};
}

std::string FleetTable::predictDataCentre(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Reason reason;
    const FleetTarget *target = selectTarget(requirements, service, now, reason);
    return target == nullptr ? std::string() : target->record().dataCentre;
}

void FleetTable::recordResponseStart(const std::string &id, std::size_t promptTokens)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.recordResponseStart(promptTokens);
    }
}

void FleetTable::recordAttempt(const std::string &id, const AttemptReport &report, Clock::Duration coldTime, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.recordAttempt(report, coldTime, now);
    }
}

std::vector<SelectedTarget> FleetTable::availableTargets(const std::string &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<SelectedTarget> found;
    std::vector<SelectedTarget> missing;
    for (const auto &[id, target] : m_targets) {
        const TargetRecord &record = target.record();
        if (record.service != service || !acceptsWork(target, now)) {
            continue;
        }
        if (!target.isSuspect(now)) {
            found.push_back({id, record.address, record.dataCentre, service, {}, target.availability().startTime()});
        } else if (target.isMissing(now)) {
            missing.push_back({id, record.address, record.dataCentre, service, {}, target.availability().startTime()});
        }
    }
    return found.empty() ? missing : found;
}

std::optional<SelectedTarget> FleetTable::findByAddress(const Endpoint &address)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = std::ranges::find_if(m_targets, [&](const auto &target) { return target.second.record().address == address; });
    if (it == m_targets.end()) {
        return std::nullopt;
    }
    const TargetRecord &record = it->second.record();
    return SelectedTarget{record.id, address, record.dataCentre, record.service, {}, it->second.availability().startTime()};
}

std::size_t FleetTable::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_targets.size();
}

} // namespace Guavalock

#include "Fleet/FleetTable.h"

#include "Decisions/AvailabilityStatement.h"
#include "Decisions/Hash.h"
#include "Fleet/LimitDivision.h"
#include "Fleet/TargetChooser.h"
#include "Fleet/VersionFilter.h"
#include "Kernel/Registry.h"

#include <algorithm>
#include <utility>

namespace Guavalock
{

namespace
{

constexpr std::chrono::seconds defaultColdTime{3}; ///< Cold-start time used where the value configured for the service is not available.
constexpr std::size_t maxUnlisted = 1'024; ///< Targets without a record whose statements are remembered.

LimitReport report(const std::string &id, const TargetAvailability &availability)
{
    const RequestLimit &limit = availability.limit();
    return {id, availability.startTime(), limit.requestsPerSecond(), limit.statedAt()};
}

} // namespace

FleetTable::FleetTable(std::string vm)
    : m_vm(std::move(vm))
    , m_choosers(Registry<TargetChooser>::instance().createAll())
    , m_random(Hash::of(m_vm))
{
}

FleetTable::~FleetTable() = default;

void FleetTable::setVersionFilter(VersionFilter &filter)
{
    m_versions = &filter;
}

bool FleetTable::update(const TargetRecord &record, RecordPosition position, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_versions != nullptr) {
        m_versions->recordVersion(record.service, record.version, now);
    }
    const auto it = m_targets.find(record.id);
    if (it == m_targets.end()) {
        FleetTarget &target = m_targets.emplace(record.id, FleetTarget(record, position, now)).first->second;
        if (const auto unlisted = m_unlisted.find(record.id); unlisted != m_unlisted.end()) {
            target.availability() = unlisted->second;
            target.availability().setStartTime(record.startTime);
        }
        return true;
    }
    if (!position.isAfter(it->second.position())) {
        return false;
    }
    const TargetRecord &before = it->second.record();
    const bool changed = before.draining != record.draining || before.startTime != record.startTime || before.address != record.address;
    it->second.update(record, position, now);
    return changed;
}

bool FleetTable::remove(const std::string &id, RecordPosition position)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(id);
    if (it == m_targets.end() || it->second.position().isAfter(position)) {
        return false;
    }
    if (it->second.availability().hasStatements()) {
        unlistedAvailability(id, it->second.record().startTime) = it->second.availability();
    }
    m_targets.erase(it);
    m_coldQuotas.erase(id);
    m_limitShares.erase(id);
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

void FleetTable::setSenders(std::vector<std::string> members)
{
    const std::scoped_lock lock(m_mutex);
    if (members != m_senders) {
        m_senders = std::move(members);
        m_coldQuotas.clear();
        m_limitShares.clear();
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
    bool changes = false;
    bool hasNews = false;
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_targets.find(target.id);
        if (it == m_targets.end() && statement.isEmpty() && !m_unlisted.contains(target.id)) {
            return false;
        }
        TargetAvailability &availability
            = it == m_targets.end() ? unlistedAvailability(target.id, target.startTime) : it->second.availability();
        changes = availability.apply(statement, target.startTime, now);
        hasNews = addLimitNews(target.id, availability);
    }
    if (hasNews && m_onNews) {
        m_onNews();
    }
    return changes;
}

bool FleetTable::addLimitNews(const std::string &id, TargetAvailability &availability)
{
    if (!availability.limit().takeNews()) {
        return false;
    }
    m_limitNews[id] = report(id, availability);
    return true;
}

void FleetTable::onNews(std::function<void()> handler)
{
    m_onNews = std::move(handler);
}

std::vector<LimitReport> FleetTable::takeLimitNews()
{
    const std::scoped_lock lock(m_mutex);
    std::vector<LimitReport> news;
    for (auto &[id, report] : std::exchange(m_limitNews, {})) {
        news.push_back(report);
    }
    return news;
}

std::vector<LimitReport> FleetTable::limitSnapshot() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<LimitReport> reports;
    for (const auto &[id, target] : m_targets) {
        const TargetAvailability &availability = target.availability();
        if (availability.limit().wasLimited()) {
            reports.push_back(report(id, availability));
        }
    }
    return reports;
}

std::vector<LimitReport> FleetTable::mergeLimits(const std::vector<LimitReport> &reports, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<LimitReport> news;
    for (const LimitReport &it : reports) {
        const auto target = m_targets.find(it.target);
        if (target == m_targets.end() && it.requestsPerSecond == AvailabilityStatement::unlimited) {
            continue;
        }
        TargetAvailability &availability
            = target == m_targets.end() ? unlistedAvailability(it.target, it.startTime) : target->second.availability();
        if (availability.mergeLimit(it.requestsPerSecond, it.statedAt, it.startTime, now)) {
            news.push_back(it);
        }
    }
    return news;
}

RequestLimit &FleetTable::sharedLimit(FleetTarget &target, Clock::TimePoint now)
{
    RequestLimit &limit = target.availability().limit();
    if (limit.isLimited()) {
        const std::string &id = target.record().id;
        const auto [it, isNew] = m_limitShares.try_emplace(id);
        if (isNew || it->second.limit != limit.requestsPerSecond()) {
            it->second = {limit.requestsPerSecond(), LimitDivision::share(m_vm, id, limit.requestsPerSecond(), m_senders)};
        }
        limit.setShare(it->second.share, now);
    }
    return limit;
}

bool FleetTable::isLimited(const std::string &id) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(id);
    return it != m_targets.end() && it->second.availability().limit().isLimited();
}

bool FleetTable::mayCall(const std::string &id, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(id);
    if (it == m_targets.end()) {
        return true;
    }
    // The daemon that batches for all is the only one that sends calls.
    RequestLimit &limit = it->second.availability().limit();
    limit.setShare(LimitDivision::whole(limit.requestsPerSecond()), now);
    return limit.timeUntilAllowed(now) == Clock::Duration::zero();
}

void FleetTable::recordCall(const std::string &id, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.availability().limit().recordRequest(now);
    }
}

void FleetTable::recordBatch(const std::string &id, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.availability().limit().recordRequest(now);
        if (m_versions != nullptr) {
            const TargetRecord &record = it->second.record();
            m_calls[id] = m_versions->recordSend({record.service, {}, record.version, false, it->second.isCold(now)}, now);
        }
    }
}

double FleetTable::callRate(const std::string &service, Clock::Duration callTime, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const double fullRate = 1 / std::chrono::duration<double>(callTime).count();
    const VersionPlan plan = versionPlan({.service = service}, now);
    double rate = 0;
    for (const auto &[id, target] : m_targets) {
        const VersionPlan::Use use = plan.useOf(target.record().version);
        const bool isUsed = use == VersionPlan::Use::Preferred || use == VersionPlan::Use::IfNoneAvailable;
        if (target.record().service == service && isUsed && acceptsWork(target, now) && !target.isSuspect(now)) {
            rate += std::min(fullRate, target.availability().limit().requestsPerSecond());
        }
    }
    return rate;
}

void FleetTable::joinWaiting(const TargetRequirements &requirements)
{
    const std::scoped_lock lock(m_mutex);
    m_waiting[requirements.service].join(requirements.requestId, requirements.rank);
}

void FleetTable::leaveWaiting(const TargetRequirements &requirements)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_waiting.find(requirements.service);
    if (it == m_waiting.end()) {
        return;
    }
    it->second.leave(requirements.requestId);
    if (it->second.empty()) {
        m_waiting.erase(it);
    }
}

bool FleetTable::isAvailable(const std::string &id, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_targets.find(id);
    return it != m_targets.end() && it->second.availability().state(now) == TargetAvailability::State::Available;
}

std::optional<Clock::Duration> FleetTable::timeUntilAvailable(const TargetRequirements &requirements, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const VersionPlan plan = versionPlan(requirements, now);
    const bool knowsPreferred = std::ranges::any_of(m_targets, [&](const auto &it) {
        const TargetRecord &record = it.second.record();
        return record.service == requirements.service && plan.useOf(record.version) == VersionPlan::Use::Preferred;
    });
    std::optional<Clock::Duration> time;
    double ownRate = 0;
    for (auto &[id, target] : m_targets) {
        const TargetAvailability::State state = target.availability().state(now);
        const VersionPlan::Use use = plan.useOf(target.record().version);
        if (use == VersionPlan::Use::Never || (use == VersionPlan::Use::IfNoneKnown && knowsPreferred)) {
            continue;
        }
        if (target.record().service != requirements.service || (state != TargetAvailability::State::Leaving && !isInService(target))) {
            continue;
        }
        const RequestLimit &limit = sharedLimit(target, now);
        if (state == TargetAvailability::State::Available && !limit.isLimited()) {
            return std::nullopt;
        }
        Clock::Duration left = target.availability().remainingPause(now).value_or(Clock::Duration::max());
        if (state == TargetAvailability::State::Available) {
            left = limit.timeUntilAllowed(now);
            ownRate += limit.ownRequestsPerSecond();
        }
        time = std::min(time.value_or(left), left);
    }
    const auto waiting = m_waiting.find(requirements.service);
    if (!time || ownRate == 0 || waiting == m_waiting.end()) {
        return time;
    }
    const auto ahead = static_cast<double>(waiting->second.ahead(requirements.requestId, requirements.rank));
    return *time + std::chrono::ceil<Clock::Duration>(std::chrono::duration<double>(ahead / ownRate));
}

bool FleetTable::acceptsWork(const FleetTarget &target, Clock::TimePoint now) const
{
    return isInService(target) && target.availability().state(now) == TargetAvailability::State::Available;
}

bool FleetTable::isInService(const FleetTarget &target) const
{
    return !target.record().draining && !m_evacuated.contains(target.record().dataCentre);
}

void FleetTable::recordResponseStart(const std::string &id, std::size_t promptTokens)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.recordResponseStart(promptTokens);
    }
}

void FleetTable::recordFirstByte(std::uint64_t attempt, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_versions != nullptr && attempt != 0) {
        m_versions->recordResponseStart(attempt, now);
    }
}

void FleetTable::recordAttempt(const std::string &id, const AttemptReport &report, Clock::Duration coldTime, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_versions != nullptr) {
        const auto call = report.attempt == 0 ? m_calls.extract(id) : decltype(m_calls)::node_type();
        const bool isLost = report.isBroken && report.outcome == AttemptReport::Outcome::Cancelled;
        m_versions->recordEnd(call ? call.mapped() : report.attempt, isLost ? AttemptReport::Outcome::ConnectionLost : report.outcome, now);
    }
    if (const auto it = m_targets.find(id); it != m_targets.end()) {
        it->second.recordAttempt(report, coldTime, now);
    }
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

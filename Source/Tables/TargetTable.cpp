#include "Tables/TargetTable.h"

#include "Settings/Configuration.h"

#include <algorithm>

namespace Guavalock
{

TargetTable::TargetTable(TargetPool::DaemonLocation location, std::uint64_t seed)
    : m_location(std::move(location))
    , m_random(seed)
{
}

void TargetTable::applyConfiguration(const Configuration &configuration)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[name, settings] : configuration.pools) {
        std::unique_ptr<TargetPool> &pool = m_pools[name];
        if (!pool) {
            pool = std::make_unique<TargetPool>();
        }
        pool->applySettings(settings, configuration, m_location);
    }
    // Removed pools are kept without targets, because calls may still wait for them or run in them.
    for (auto &[name, pool] : m_pools) {
        if (!configuration.pools.contains(name)) {
            PoolSettings empty = pool->settings();
            empty.targets.clear();
            pool->applySettings(empty, configuration, m_location);
        }
    }
}

TargetTable::AcquireResult TargetTable::acquire(const std::string &name, const StageRequirements &requirements, Clock::TimePoint now,
                                                GrantHandler handler)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_pools.find(name);
    if (it == m_pools.end()) {
        return RefusalCause::NoTarget;
    }
    TargetPool &pool = *it->second;
    if (pool.allOutOfService()) {
        return RefusalCause::DataCentreOut;
    }
    if (!pool.anyPotentiallyUsable(now)) {
        return RefusalCause::NoTarget;
    }
    if (pool.queue().size() == 0) {
        if (const std::optional<std::size_t> index = pool.choose(requirements, now, m_random)) {
            return makeSlot(name, pool, *index, requirements.suspect, now);
        }
    }
    const bool meetsDeadline = now + pool.estimatedQueueWait(now) + pool.durations().lowPercentile() < requirements.deadline;
    if (pool.queue().size() >= pool.settings().queue || !meetsDeadline) {
        return RefusalCause::Overloaded;
    }
    const Ticket ticket = ++m_lastTicket;
    pool.queue().push({ticket, requirements});
    m_grantHandlers[ticket] = std::move(handler);
    return ticket;
}

Slot TargetTable::makeSlot(const std::string &name, TargetPool &pool, std::size_t index, bool suspect, Clock::TimePoint now) const
{
    const TargetPool::Member &member = pool.members()[index];
    Slot slot;
    slot.pool = name;
    slot.target = member.settings.name;
    slot.address = member.settings.address;
    slot.dialect = pool.settings().dialect;
    slot.connectTimeout = pool.settings().connectTimeout;
    slot.incarnation = member.state.report().incarnation;
    slot.suspect = suspect;
    slot.acquiredAt = now;
    return slot;
}

bool TargetTable::withdraw(const std::string &name, Ticket ticket)
{
    const std::scoped_lock lock(m_mutex);
    m_grantHandlers.erase(ticket);
    const auto it = m_pools.find(name);
    return it != m_pools.end() && it->second->queue().withdraw(ticket);
}

void TargetTable::release(const Slot &slot, StageAttemptOutcome end, Clock::TimePoint now)
{
    PendingGrants pendingGrants;
    {
        const std::scoped_lock lock(m_mutex);
        TargetPool &pool = *m_pools[slot.pool];
        const Clock::Duration duration = now - slot.acquiredAt;
        if (TargetPool::Member *member = pool.find(slot.target)) {
            member->state.recordEnd(end, slot.suspect, duration, now);
        }
        if (end == StageAttemptOutcome::Answered) {
            pool.recordDuration(duration);
            pool.retryBudget().recordSuccess();
        }
        dispatchQueued(slot.pool, pool, now, pendingGrants);
    }
    deliverGrants(pendingGrants);
}

TargetTable::GrantHandler TargetTable::extractHandler(Ticket ticket)
{
    GrantHandler handler = std::move(m_grantHandlers[ticket]);
    m_grantHandlers.erase(ticket);
    return handler;
}

void TargetTable::dispatchQueued(const std::string &name, TargetPool &pool, Clock::TimePoint now, PendingGrants &pendingGrants)
{
    while (const SlotQueue::Entry *entry = pool.queue().next()) {
        const Ticket ticket = entry->ticket;
        // A call that would miss its deadline would only take the slot from one that can still be answered in time.
        if (now + pool.durations().mean() > entry->requirements.deadline) {
            pool.queue().withdraw(ticket);
            pendingGrants.emplace_back(extractHandler(ticket), RefusalCause::Overloaded);
            continue;
        }
        const std::optional<std::size_t> index = pool.choose(entry->requirements, now, m_random);
        if (!index) {
            return;
        }
        const bool suspect = entry->requirements.suspect;
        pool.queue().markServed(ticket);
        pendingGrants.emplace_back(extractHandler(ticket), makeSlot(name, pool, *index, suspect, now));
    }
}

void TargetTable::deliverGrants(PendingGrants &pendingGrants)
{
    for (auto &[handler, result] : pendingGrants) {
        handler(std::move(result));
    }
}

void TargetTable::setObserver(Observer observer)
{
    m_observer = std::move(observer);
}

bool TargetTable::applyReport(const std::string &name, const std::string &target, const LoadReport &report, Clock::TimePoint now)
{
    const bool changed = applyPeerReport(name, target, report, now);
    if (changed && m_observer) {
        m_observer(name, target, report);
    }
    return changed;
}

bool TargetTable::applyPeerReport(const std::string &name, const std::string &target, const LoadReport &report, Clock::TimePoint now)
{
    PendingGrants pendingGrants;
    bool changed = false;
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_pools.find(name);
        TargetPool::Member *member = it == m_pools.end() ? nullptr : it->second->find(target);
        if (member == nullptr) {
            return false;
        }
        const TargetState::Warmth before = member->state.warmth();
        const std::string incarnation = member->state.report().incarnation;
        member->state.applyReport(report, now);
        changed = before != member->state.warmth() || incarnation != report.incarnation;
        if (changed) {
            dispatchQueued(name, *it->second, now, pendingGrants);
        }
    }
    deliverGrants(pendingGrants);
    return changed;
}

void TargetTable::probeFailed(const std::string &name, const std::string &target, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_pools.find(name);
    TargetPool::Member *member = it == m_pools.end() ? nullptr : it->second->find(target);
    if (member != nullptr) {
        member->state.probeFailed(now);
    }
}

std::vector<TargetTable::Probe> TargetTable::dueProbes(Clock::TimePoint now, Clock::Duration reportLifetime) const
{
    std::vector<Probe> due;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[name, pool] : m_pools) {
        for (const TargetPool::Member &it : pool->members()) {
            if (!it.state.probeDue(now, reportLifetime)) {
                continue;
            }
            const bool unknown = it.state.warmth() == TargetState::Warmth::Unknown;
            due.insert(unknown ? due.begin() : due.end(), {name, it.settings.name, it.settings.address});
        }
    }
    return due;
}

void TargetTable::dispatchWaiting(Clock::TimePoint now)
{
    PendingGrants pendingGrants;
    {
        const std::scoped_lock lock(m_mutex);
        for (auto &[name, pool] : m_pools) {
            dispatchQueued(name, *pool, now, pendingGrants);
        }
    }
    deliverGrants(pendingGrants);
}

bool TargetTable::retryAllowed(const std::string &name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_pools.find(name);
    return it != m_pools.end() && it->second->retryBudget().hasToken();
}

void TargetTable::spendRetryToken(const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_pools.find(name);
    if (it != m_pools.end()) {
        it->second->retryBudget().takeToken();
    }
}

Clock::Duration TargetTable::bestCaseDuration(const std::string &name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_pools.find(name);
    return it == m_pools.end() ? Clock::Duration::zero() : it->second->durations().lowPercentile();
}

std::set<std::string> TargetTable::usablePools(Clock::TimePoint now) const
{
    std::set<std::string> names;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[name, pool] : m_pools) {
        const bool usable = std::ranges::any_of(pool->members(), [now](const TargetPool::Member &it) { return it.state.usable(now); });
        if (usable) {
            names.insert(name);
        }
    }
    return names;
}

std::vector<TargetTable::Row> TargetTable::rows() const
{
    std::vector<Row> rows;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[name, pool] : m_pools) {
        for (const TargetPool::Member &it : pool->members()) {
            rows.push_back({name, it.settings.name, it.settings.address.text(), it.settings.dataCentre, std::string(it.state.warmthName()),
                            it.state.inService(), it.state.outstanding(), it.state.limit(), it.state.report().incarnation,
                            it.state.durations().mean()});
        }
    }
    return rows;
}

} // namespace Guavalock

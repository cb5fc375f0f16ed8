#include "Fleet/FleetMembership.h"

#include "Decisions/Hash.h"
#include "Fleet/LinkPlan.h"

#include <algorithm>
#include <utility>

namespace Guavalock
{

namespace
{

constexpr double ownerShareThreshold = 0.75; ///< Fraction of the largest processor share. Daemons below it do no work for others.

/// Fleets of up to this many daemons read records directly from the topic's owner. Each daemon asks twice a second, which costs a daemon
/// that reads for 100 others about 2% of a core.
constexpr std::size_t maxDirectReaders = 100;

/// Returns the member with the highest hash among those with a large processor share. The list must not be empty.
const MemberRecord &selectOwner(const std::string &task, const std::vector<const MemberRecord *> &members)
{
    const auto share = [](const MemberRecord *it) {
        return it->processorShare;
    };
    const double largest = share(*std::ranges::max_element(members, {}, share));
    const std::uint64_t seed = Hash::of(task);
    return **std::ranges::max_element(members, {}, [&](const MemberRecord *it) {
        return std::pair(it->processorShare >= ownerShareThreshold * largest, Hash::of(it->vm, seed));
    });
}

} // namespace

FleetMembership::FleetMembership(MemberRecord self)
    : m_self(std::move(self))
{
}

std::uint64_t FleetMembership::idOf(const std::string &vm)
{
    return Hash::of(vm);
}

const MemberRecord &FleetMembership::self() const
{
    return m_self;
}

bool FleetMembership::updateMember(const MemberRecord &member)
{
    if (member.vm == m_self.vm) {
        return false;
    }
    const std::scoped_lock lock(m_mutex);
    Member &it = m_members[member.vm];
    if (it.record == member) {
        return false;
    }
    // The record may be older than the link, whose state it does not change.
    if (it.record.peerAddress != member.peerAddress) {
        it.unreachableUntil = {};
    }
    it.record = member;
    it.id = idOf(member.vm);
    m_viewValid = false;
    return true;
}

void FleetMembership::remove(const std::string &vm)
{
    const std::scoped_lock lock(m_mutex);
    m_members.erase(vm);
    m_viewValid = false;
}

void FleetMembership::recordHeartbeat(const std::string &vm, bool draining, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    if (it == m_members.end()) {
        return;
    }
    Member &member = it->second;
    m_viewValid = m_viewValid && isResponsive(member, now) && member.draining == draining;
    member.lastHeartbeat = now;
    member.draining = draining;
}

void FleetMembership::recordRoster(const std::string &vm, Roster roster)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_members.find(vm); it != m_members.end()) {
        it->second.roster = std::move(roster);
        m_viewValid = false;
    }
}

void FleetMembership::setLinked(const std::string &vm, bool up)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_members.find(vm); it != m_members.end()) {
        it->second.linked = up;
        it->second.unreachableUntil = {};
        it->second.roster = {};
        m_viewValid = false;
    }
}

void FleetMembership::recordUnreachable(const std::string &vm, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_members.find(vm); it != m_members.end() && !it->second.linked) {
        it->second.unreachableUntil = now + unreachableTime;
        m_viewValid = false;
    }
}

bool FleetMembership::isResponsive(const Member &member, Clock::TimePoint now)
{
    return member.linked && now - member.lastHeartbeat < heartbeatTimeout;
}

std::set<std::uint64_t> FleetMembership::reported(Clock::TimePoint now) const
{
    std::set<std::uint64_t> ids;
    for (const auto &[vm, member] : m_members) {
        if (isResponsive(member, now)) {
            ids.insert(member.roster.direct.begin(), member.roster.direct.end());
            ids.insert(member.roster.relayed.begin(), member.roster.relayed.end());
        }
    }
    return ids;
}

FleetMembership::View &FleetMembership::view(Clock::TimePoint now) const
{
    if (m_viewValid && now >= m_view.evaluated && now - m_view.evaluated < viewLifetime) {
        return m_view;
    }
    std::vector<MemberRecord> live;
    const std::set<std::uint64_t> ids = reported(now);
    for (const auto &[vm, member] : m_members) {
        const bool isLive
            = member.linked ? isResponsive(member, now) && !member.draining : now >= member.unreachableUntil && ids.contains(member.id);
        if (isLive) {
            live.push_back(member.record);
        }
    }
    if (live.empty() || !m_draining) {
        live.push_back(m_self);
    }
    if (live != m_view.live) {
        m_view.live = std::move(live);
        m_view.owners.clear();
        m_view.ownersIn.clear();
    }
    m_view.evaluated = now;
    m_viewValid = true;
    return m_view;
}

std::vector<MemberRecord> FleetMembership::live(Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return view(now).live;
}

void FleetMembership::startDraining()
{
    const std::scoped_lock lock(m_mutex);
    m_draining = true;
    m_viewValid = false;
}

const std::string &FleetMembership::findOwner(const std::string &task, Clock::TimePoint now) const
{
    View &current = view(now);
    std::string &found = current.owners[task];
    if (found.empty()) {
        std::vector<const MemberRecord *> members;
        for (const MemberRecord &it : current.live) {
            members.push_back(&it);
        }
        found = selectOwner(task, members).vm;
    }
    return found;
}

std::string FleetMembership::owner(const std::string &task, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return findOwner(task, now);
}

std::string FleetMembership::ownerIn(const std::string &dataCentre, const std::string &task, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    View &current = view(now);
    const auto [it, isNew] = current.ownersIn.try_emplace({dataCentre, task});
    if (isNew) {
        std::vector<const MemberRecord *> members;
        for (const MemberRecord &member : current.live) {
            if (member.dataCentre == dataCentre) {
                members.push_back(&member);
            }
        }
        it->second = members.empty() ? std::string() : selectOwner(task, members).vm;
    }
    return it->second;
}

std::set<std::string> FleetMembership::dataCentres(Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    std::set<std::string> names;
    for (const MemberRecord &it : view(now).live) {
        names.insert(it.dataCentre);
    }
    return names;
}

std::string FleetMembership::linkedOwner(const std::string &task, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<const MemberRecord *> members;
    for (const auto &[vm, member] : m_members) {
        if (isResponsive(member, now) && !member.draining) {
            members.push_back(&member.record);
        }
    }
    if (members.empty() || !m_draining) {
        members.push_back(&m_self);
    }
    return selectOwner(task, members).vm;
}

RecordSource FleetMembership::recordSource(const std::string &topic, Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    const std::string &reader = findOwner(topic, now);
    if (reader == m_self.vm) {
        return {};
    }
    const View &current = view(now);
    std::vector<const MemberRecord *> neighbours;
    for (const MemberRecord &it : current.live) {
        if (it.dataCentre == m_self.dataCentre) {
            neighbours.push_back(&it);
        }
    }
    if (current.live.size() <= maxDirectReaders || neighbours.empty()) {
        return {reader, 1};
    }
    const std::string &relay = selectOwner(topic, neighbours).vm;
    return relay == m_self.vm || relay == reader ? RecordSource{reader, 1} : RecordSource{relay, 2};
}

bool FleetMembership::reachable(const std::string &vm, Clock::TimePoint now) const
{
    if (vm == m_self.vm) {
        return true;
    }
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    return it != m_members.end() && isResponsive(it->second, now);
}

bool FleetMembership::connected(Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return std::ranges::any_of(m_members, [now](const auto &it) { return isResponsive(it.second, now); });
}

LinkPlan FleetMembership::linkPlan(Clock::TimePoint now) const
{
    std::vector<LinkPlan::Candidate> candidates;
    candidates.reserve(m_members.size());
    for (const auto &[vm, member] : m_members) {
        const bool silent = member.linked && !isResponsive(member, now);
        candidates.push_back({&member.record, now >= member.unreachableUntil && !member.draining && !silent});
    }
    return {m_self, candidates};
}

std::vector<MemberRecord> FleetMembership::plannedLinks(Clock::TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<MemberRecord> records;
    const LinkPlan plan = linkPlan(now);
    for (const std::string &it : plan.links()) {
        records.push_back(m_members.at(it).record);
    }
    return records;
}

std::shared_ptr<const Roster> FleetMembership::roster(Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_members.size() < LinkPlan::fullMeshSize || !linkPlan(now).isHub()) {
        m_roster = nullptr;
        return nullptr;
    }
    std::set<std::uint64_t> direct;
    std::set<std::uint64_t> relayed;
    if (!m_draining) {
        direct.insert(idOf(m_self.vm));
    }
    for (const auto &[vm, member] : m_members) {
        if (isResponsive(member, now)) {
            relayed.insert(member.roster.direct.begin(), member.roster.direct.end());
            if (!member.draining) {
                direct.insert(member.id);
            }
        }
    }
    Roster next;
    next.direct.assign(direct.begin(), direct.end());
    std::ranges::set_difference(relayed, direct, std::back_inserter(next.relayed));
    if (!m_roster || *m_roster != next) {
        m_roster = std::make_shared<const Roster>(std::move(next));
    }
    return m_roster;
}

MemberRecord FleetMembership::record(const std::string &vm) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    return it == m_members.end() ? MemberRecord() : it->second.record;
}

} // namespace Guavalock

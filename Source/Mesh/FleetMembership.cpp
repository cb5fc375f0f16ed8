#include "Mesh/FleetMembership.h"

#include "Decisions/Hash.h"

#include <algorithm>
#include <utility>

namespace Guavalock
{

namespace
{

constexpr double ownerShareThreshold = 0.75; ///< Fraction of the largest processor share. Daemons below it do no work for others.

/// Returns the member with the highest hash among those with a large processor share. The list must not be empty.
const MemberRecord &selectOwner(const std::string &task, const std::vector<MemberRecord> &members)
{
    const double largest = std::ranges::max_element(members, {}, &MemberRecord::processorShare)->processorShare;
    return *std::ranges::max_element(members, {}, [&](const MemberRecord &it) {
        return std::pair(it.processorShare >= ownerShareThreshold * largest, Hash::of(it.vm, Hash::of(task)));
    });
}

} // namespace

FleetMembership::FleetMembership(MemberRecord self)
    : m_self(std::move(self))
{
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
    it = {member};
    return true;
}

void FleetMembership::remove(const std::string &vm)
{
    const std::scoped_lock lock(m_mutex);
    m_members.erase(vm);
}

void FleetMembership::recordHeartbeat(const std::string &vm, bool draining, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.lastHeartbeat = now;
        it->second.draining = draining;
    }
}

void FleetMembership::setLinked(const std::string &vm, bool up)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.linked = up;
    }
}

bool FleetMembership::isResponsive(const Member &member, Clock::TimePoint now)
{
    return member.linked && now - member.lastHeartbeat < heartbeatTimeout;
}

std::vector<MemberRecord> FleetMembership::live(Clock::TimePoint now) const
{
    std::vector<MemberRecord> found;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[vm, member] : m_members) {
        if (isResponsive(member, now) && !member.draining) {
            found.push_back(member.record);
        }
    }
    if (found.empty() || !m_draining) {
        found.push_back(m_self);
    }
    return found;
}

void FleetMembership::startDraining()
{
    const std::scoped_lock lock(m_mutex);
    m_draining = true;
}

std::string FleetMembership::owner(const std::string &task, Clock::TimePoint now) const
{
    const std::vector<MemberRecord> members = live(now);
    return selectOwner(task, members).vm;
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

} // namespace Guavalock

#include "Mesh/Roster.h"

#include "Decisions/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Guavalock
{

namespace
{

constexpr double leastWeight = 0.01; ///< Cores; for a daemon that states none.

/// The score of weighted rendezvous hashing.
double score(const std::string &service, const MemberRecord &member)
{
    const std::uint64_t hash = Hash::of(member.vm, Hash::of(service));
    const double point = (static_cast<double>(hash) + 1) / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return std::max(member.processorShare, leastWeight) / -std::log(point);
}

} // namespace

Roster::Roster(MemberRecord self)
    : m_self(std::move(self))
{
}

const MemberRecord &Roster::self() const
{
    return m_self;
}

bool Roster::learn(const MemberRecord &member)
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

void Roster::forget(const std::string &vm)
{
    const std::scoped_lock lock(m_mutex);
    m_members.erase(vm);
}

void Roster::heard(const std::string &vm, bool draining, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.heard = now;
        it->second.draining = draining;
    }
}

void Roster::linked(const std::string &vm, bool up)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    if (it != m_members.end()) {
        it->second.linked = up;
    }
}

bool Roster::present(const Member &member, Clock::TimePoint now)
{
    return member.linked && now - member.heard < silenceLimit;
}

std::vector<MemberRecord> Roster::live(Clock::TimePoint now) const
{
    std::vector<MemberRecord> found;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[vm, member] : m_members) {
        if (present(member, now) && !member.draining) {
            found.push_back(member.record);
        }
    }
    if (found.empty() || !m_draining) {
        found.push_back(m_self);
    }
    return found;
}

void Roster::startDraining()
{
    const std::scoped_lock lock(m_mutex);
    m_draining = true;
}

std::string Roster::owner(const std::string &service, Clock::TimePoint now) const
{
    const std::vector<MemberRecord> members = live(now);
    return std::ranges::max_element(members, {}, [&](const MemberRecord &it) { return score(service, it); })->vm;
}

std::string Roster::owner(const std::string &matter, const std::string &dataCentre, Clock::TimePoint now) const
{
    std::vector<MemberRecord> members = live(now);
    std::erase_if(members, [&](const MemberRecord &it) { return it.dataCentre != dataCentre; });
    if (members.empty()) {
        return m_self.vm;
    }
    return std::ranges::max_element(members, {}, [&](const MemberRecord &it) { return score(matter, it); })->vm;
}

bool Roster::reachable(const std::string &vm, Clock::TimePoint now) const
{
    if (vm == m_self.vm) {
        return true;
    }
    const std::scoped_lock lock(m_mutex);
    const auto it = m_members.find(vm);
    return it != m_members.end() && present(it->second, now);
}

std::vector<MemberRecord> Roster::known() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<MemberRecord> found;
    for (const auto &[vm, member] : m_members) {
        found.push_back(member.record);
    }
    return found;
}

} // namespace Guavalock

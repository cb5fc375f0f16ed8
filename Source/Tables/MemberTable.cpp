#include "Tables/MemberTable.h"

#include <algorithm>

namespace Guavalock
{

void MemberTable::add(const std::string &vm, const std::string &dataCentre)
{
    const std::scoped_lock lock(m_mutex);
    m_members[vm].dataCentre = dataCentre;
}

void MemberTable::connected(const std::string &vm, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Member &member = m_members[vm];
    member.connected = true;
    member.lastHeard = now;
    member.draining = false;
    member.pools.clear();
}

void MemberTable::disconnected(const std::string &vm)
{
    const std::scoped_lock lock(m_mutex);
    m_members[vm].connected = false;
}

void MemberTable::heard(const std::string &vm, const Heard &heard, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Member &member = m_members[vm];
    member.lastHeard = now;
    member.draining = heard.draining;
    member.configurationNext = heard.configurationNext;
    if (heard.poolsChanged) {
        member.pools = heard.pools;
    }
}

bool MemberTable::live(const Member &member, Clock::TimePoint now)
{
    return member.connected && !member.draining && now - member.lastHeard < suspicionTime;
}

std::vector<std::string> MemberTable::withPool(const std::string &pool, const std::string &nearCentre,
                                               const std::set<std::string> &centresOut, Clock::TimePoint now) const
{
    std::vector<std::string> found;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[vm, member] : m_members) {
        if (live(member, now) && member.pools.contains(pool) && !centresOut.contains(member.dataCentre)) {
            found.insert(member.dataCentre == nearCentre ? found.begin() : found.end(), vm);
        }
    }
    return found;
}

const char *MemberTable::stateName(const Member &member, Clock::TimePoint now)
{
    if (!member.connected) {
        return "unconnected";
    }
    if (member.draining) {
        return "draining";
    }
    return live(member, now) ? "live" : "silent";
}

std::vector<MemberTable::Row> MemberTable::rows(Clock::TimePoint now) const
{
    std::vector<Row> rows;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[vm, member] : m_members) {
        rows.push_back({vm, member.dataCentre, stateName(member, now), member.configurationNext, member.pools.size()});
    }
    return rows;
}

} // namespace Guavalock

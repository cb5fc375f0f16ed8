#include "Tables/MemberTable.h"

#include <algorithm>

namespace Guavalock
{

void MemberTable::add(const std::string &vm, const std::string &dataCentre)
{
    const std::scoped_lock lock(m_mutex);
    m_members[vm].dataCentre = dataCentre;
}

void MemberTable::markConnected(const std::string &vm, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Member &member = m_members[vm];
    member.connected = true;
    member.lastContact = now;
    member.draining = false;
    member.pools.clear();
}

void MemberTable::markDisconnected(const std::string &vm)
{
    const std::scoped_lock lock(m_mutex);
    m_members[vm].connected = false;
}

void MemberTable::recordHeartbeat(const std::string &vm, const Heartbeat &heard, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Member &member = m_members[vm];
    member.lastContact = now;
    member.draining = heard.draining;
    member.nextConfigurationOffset = heard.nextConfigurationOffset;
    if (heard.poolsChanged) {
        member.pools = heard.pools;
    }
}

bool MemberTable::isLive(const Member &member, Clock::TimePoint now)
{
    return member.connected && !member.draining && now - member.lastContact < livenessTimeout;
}

std::vector<std::string> MemberTable::membersServingPool(const std::string &pool, const std::string &preferredDataCentre,
                                                         const std::set<std::string> &dataCentresOut, Clock::TimePoint now) const
{
    std::vector<std::string> vms;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[vm, member] : m_members) {
        if (isLive(member, now) && member.pools.contains(pool) && !dataCentresOut.contains(member.dataCentre)) {
            vms.insert(member.dataCentre == preferredDataCentre ? vms.begin() : vms.end(), vm);
        }
    }
    return vms;
}

const char *MemberTable::stateName(const Member &member, Clock::TimePoint now)
{
    if (!member.connected) {
        return "unconnected";
    }
    if (member.draining) {
        return "draining";
    }
    return isLive(member, now) ? "live" : "silent";
}

std::vector<MemberTable::Row> MemberTable::rows(Clock::TimePoint now) const
{
    std::vector<Row> rows;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[vm, member] : m_members) {
        rows.push_back({vm, member.dataCentre, stateName(member, now), member.nextConfigurationOffset, member.pools.size()});
    }
    return rows;
}

} // namespace Guavalock

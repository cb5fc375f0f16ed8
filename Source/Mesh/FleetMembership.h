#pragma once

#include "Fleet/MemberRecord.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// The daemons of the fleet known to this one, with their reachability. Lock rank: Members.
class FleetMembership
{
public:
    /// A daemon without a heartbeat for this long receives no new work: three heartbeat intervals and a margin.
    static constexpr std::chrono::milliseconds heartbeatTimeout{1'600};

    explicit FleetMembership(MemberRecord self);

    const MemberRecord &self() const;

    /// Adds a daemon or replaces its record. Returns whether the record has changed.
    bool updateMember(const MemberRecord &member);

    /// Removes a daemon that has left the fleet.
    void remove(const std::string &vm);

    /// Records a heartbeat of a daemon and whether it is draining.
    void recordHeartbeat(const std::string &vm, bool draining, Clock::TimePoint now);

    /// Records whether the link to a daemon is up.
    void setLinked(const std::string &vm, bool up);

    /// Returns the daemons that can be given work. Includes this daemon unless it is draining and there are others.
    std::vector<MemberRecord> live(Clock::TimePoint now) const;

    /// Returns the live daemon that performs a task for all, such as batching the pieces of a service. Selected by rendezvous hashing
    /// among the daemons with the largest processor shares, so all daemons with the same view select the same owner.
    std::string owner(const std::string &task, Clock::TimePoint now) const;

    /// Returns whether a daemon can complete work it has already received. Draining daemons can.
    bool reachable(const std::string &vm, Clock::TimePoint now) const;

    /// Excludes this daemon from new work unless no other daemon is live.
    void startDraining();

private:
    struct Member {
        MemberRecord record;
        Clock::TimePoint lastHeartbeat{};
        bool linked = false;
        bool draining = false;
    };

    static bool isResponsive(const Member &member, Clock::TimePoint now);

    MemberRecord m_self;
    mutable RankedMutex m_mutex{LockRank::Members};
    std::map<std::string, Member> m_members;
    bool m_draining = false;
};

} // namespace Guavalock

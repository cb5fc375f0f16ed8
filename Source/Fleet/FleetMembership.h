#pragma once

#include "Fleet/MemberRecord.h"
#include "Fleet/RecordSource.h"
#include "Fleet/Roster.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

class LinkPlan;

/// The daemons of the fleet known to this one, with their liveness. Lock rank: Members.
///
/// A linked daemon is live while its heartbeats arrive. Any other daemon is live while a hub that is linked and live reports it. Both are
/// evaluated at most every `viewLifetime`, so that the cost of a query does not depend on the size of the fleet.
class FleetMembership
{
public:
    /// A daemon without a heartbeat for this long receives no new work: three heartbeat intervals and a margin.
    static constexpr std::chrono::milliseconds heartbeatTimeout{1'600};

    static constexpr std::chrono::seconds unreachableTime{5}; ///< Longer than the interval of the attempts to link to a planned daemon.

    static constexpr std::chrono::milliseconds viewLifetime{100}; ///< Short compared with the heartbeat interval.

    explicit FleetMembership(MemberRecord self);

    /// Returns the number that identifies a daemon in rosters.
    static std::uint64_t idOf(const std::string &vm);

    const MemberRecord &self() const;

    /// Adds a daemon or replaces its record. Returns whether the record has changed.
    bool updateMember(const MemberRecord &member);

    /// Removes a daemon that has left the fleet.
    void remove(const std::string &vm);

    /// Records a heartbeat of a daemon and whether it is draining.
    void recordHeartbeat(const std::string &vm, bool draining, Clock::TimePoint now);

    /// Replaces the roster that a daemon has sent.
    void recordRoster(const std::string &vm, Roster roster);

    /// Records whether a link to a daemon is up.
    void setLinked(const std::string &vm, bool up);

    /// Records that a daemon could not be reached. For `unreachableTime`, or until it is linked, reports of hubs about it are ignored.
    void recordUnreachable(const std::string &vm, Clock::TimePoint now);

    /// Returns the daemons that can be given work. Includes this daemon unless it is draining and there are others.
    std::vector<MemberRecord> live(Clock::TimePoint now) const;

    /// Returns the live daemon that performs a task for all, such as batching the pieces of a service. Selected by rendezvous hashing
    /// among the daemons with the largest processor shares, so all daemons with the same view select the same owner.
    std::string owner(const std::string &task, Clock::TimePoint now) const;

    /// Returns the live daemon of a data centre that performs a task for the others there, selected in the same way. Returns an empty
    /// string if none is live.
    std::string ownerIn(const std::string &dataCentre, const std::string &task, Clock::TimePoint now) const;

    /// Returns the data centres of the live daemons.
    std::set<std::string> dataCentres(Clock::TimePoint now) const;

    /// Returns the daemon that performs a task for this one until its owner is linked: selected like the owner, among the daemons that are
    /// linked and live, and this one.
    std::string linkedOwner(const std::string &task, Clock::TimePoint now) const;

    /// Returns the daemon from which this one obtains the records of a topic. It is the topic's owner, or in large fleets a daemon of the
    /// same data centre, which in turn obtains them from the owner.
    RecordSource recordSource(const std::string &topic, Clock::TimePoint now) const;

    /// Returns whether a daemon can complete work it has already received. Draining daemons can.
    bool reachable(const std::string &vm, Clock::TimePoint now) const;

    /// Returns whether any other daemon is linked and sends heartbeats.
    bool connected(Clock::TimePoint now) const;

    /// Returns the records of the daemons to keep a link to, according to LinkPlan.
    std::vector<MemberRecord> plannedLinks(Clock::TimePoint now) const;

    /// Returns the roster to send, or nothing if this daemon is not a hub. The same object is returned until the content changes.
    std::shared_ptr<const Roster> roster(Clock::TimePoint now);

    /// Returns the record of a daemon, or one without an address if the daemon is not known.
    MemberRecord record(const std::string &vm) const;

    /// Excludes this daemon from new work unless no other daemon is live.
    void startDraining();

private:
    struct Member {
        MemberRecord record;
        std::uint64_t id = 0;
        Clock::TimePoint lastHeartbeat{};
        bool linked = false;
        Clock::TimePoint unreachableUntil{}; ///< After a failed attempt to reach it.
        bool draining = false;
        Roster roster; ///< As last received; empty unless the daemon is a hub.
    };

    /// The live daemons at one time.
    struct View {
        Clock::TimePoint evaluated;
        std::vector<MemberRecord> live;
        std::map<std::string, std::string> owners; ///< By task; filled in on demand.
        std::map<std::pair<std::string, std::string>, std::string> ownersIn; ///< By data centre and task, likewise.
    };

    static bool isResponsive(const Member &member, Clock::TimePoint now);
    std::set<std::uint64_t> reported(Clock::TimePoint now) const;
    View &view(Clock::TimePoint now) const;
    const std::string &findOwner(const std::string &task, Clock::TimePoint now) const;
    LinkPlan linkPlan(Clock::TimePoint now) const;

    MemberRecord m_self;
    mutable RankedMutex m_mutex{LockRank::Members};
    std::map<std::string, Member> m_members;
    mutable View m_view;
    mutable bool m_viewValid = false;
    std::shared_ptr<const Roster> m_roster;
    bool m_draining = false;
};

} // namespace Guavalock

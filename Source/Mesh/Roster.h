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

/// The daemons of the fleet as this one knows them. Rank Members.
class Roster
{
public:
    /// A daemon not heard from for this long gets no new work: three heartbeats.
    static constexpr std::chrono::milliseconds silenceLimit{1'600};

    explicit Roster(MemberRecord self);

    const MemberRecord &self() const;

    /// Learns of a daemon, or of its new incarnation. Returns whether that is news.
    bool learn(const MemberRecord &member);

    /// Forgets a daemon that has left.
    void forget(const std::string &vm);

    /// The daemon has sent something.
    void heard(const std::string &vm, bool draining, Clock::TimePoint now);

    /// The link to the daemon came up or went down.
    void linked(const std::string &vm, bool up);

    /// Returns the daemons that can be given work, this one included.
    std::vector<MemberRecord> live(Clock::TimePoint now) const;

    /// Returns the live daemon that does a task for all, such as batching the pieces of a service: the highest hash among those with the
    /// most processor.
    std::string owner(const std::string &task, Clock::TimePoint now) const;

    /// Returns whether a daemon is there to finish what it was given, also while it drains.
    bool reachable(const std::string &vm, Clock::TimePoint now) const;

    /// This daemon takes no new work if another can.
    void startDraining();

private:
    struct Member {
        MemberRecord record;
        Clock::TimePoint heard{};
        bool linked = false;
        bool draining = false;
    };

    static bool present(const Member &member, Clock::TimePoint now);

    MemberRecord m_self;
    mutable RankedMutex m_mutex{LockRank::Members};
    std::map<std::string, Member> m_members;
    bool m_draining = false;
};

} // namespace Guavalock

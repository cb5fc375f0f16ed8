#pragma once

#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

/// The other daemons and their last known state. Lock rank: Members.
class MemberTable
{
public:
    /// Time without a heartbeat after which a member no longer counts as live.
    static constexpr std::chrono::milliseconds livenessTimeout{3'500};

    /// A member's state as stated in its heartbeat.
    struct Heartbeat {
        bool draining = false;
        std::uint64_t nextConfigurationOffset = 0;
        bool poolsChanged = false;
        std::set<std::string> pools; ///< Pools with a usable target; valid only if poolsChanged.
    };

    struct Row {
        std::string vm;
        std::string dataCentre;
        std::string state; ///< `live`, `draining`, `silent` or `unconnected`.
        std::uint64_t nextConfigurationOffset = 0;
        std::size_t pools = 0; ///< Number of pools with a usable target.
    };

    /// Adds a member listed in the settings.
    void add(const std::string &vm, const std::string &dataCentre);

    void markConnected(const std::string &vm, Clock::TimePoint now);
    void markDisconnected(const std::string &vm);
    void recordHeartbeat(const std::string &vm, const Heartbeat &heard, Clock::TimePoint now);

    /// Returns the live members with a usable target of a pool, those in the preferred data centre first. Members in data centres that
    /// are out of service are left out.
    std::vector<std::string> membersServingPool(const std::string &pool, const std::string &preferredDataCentre,
                                                const std::set<std::string> &dataCentresOut, Clock::TimePoint now) const;

    std::vector<Row> rows(Clock::TimePoint now) const;

private:
    struct Member {
        std::string dataCentre;
        bool connected = false;
        bool draining = false;
        Clock::TimePoint lastContact{};
        std::uint64_t nextConfigurationOffset = 0;
        std::set<std::string> pools;
    };

    static bool isLive(const Member &member, Clock::TimePoint now);
    static const char *stateName(const Member &member, Clock::TimePoint now);

    mutable RankedMutex m_mutex{LockRank::Members};
    std::map<std::string, Member> m_members;
};

} // namespace Guavalock

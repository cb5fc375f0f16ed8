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

/// The other daemons, as this one hears of them. Rank Members.
class MemberTable
{
public:
    /// How long a member counts as live after it was last heard.
    static constexpr std::chrono::milliseconds suspicionTime{3'500};

    struct Heard {
        bool draining = false;
        std::uint64_t configurationNext = 0;
        bool poolsChanged = false;
        std::set<std::string> pools; ///< Those with a target that may be given work.
    };

    struct Row {
        std::string vm;
        std::string dataCentre;
        std::string state; ///< `live`, `draining`, `silent` or `unconnected`.
        std::uint64_t configurationNext = 0;
        std::size_t pools = 0; ///< With a target that may be given work.
    };

    /// Adds a member that the settings name.
    void add(const std::string &vm, const std::string &dataCentre);

    void connected(const std::string &vm, Clock::TimePoint now);
    void disconnected(const std::string &vm);
    void heard(const std::string &vm, const Heard &heard, Clock::TimePoint now);

    /// Returns the live members that have a target of a pool, in the given data centre first.
    std::vector<std::string> withPool(const std::string &pool, const std::string &nearCentre, const std::set<std::string> &centresOut,
                                      Clock::TimePoint now) const;

    std::vector<Row> rows(Clock::TimePoint now) const;

private:
    struct Member {
        std::string dataCentre;
        bool connected = false;
        bool draining = false;
        Clock::TimePoint lastHeard{};
        std::uint64_t configurationNext = 0;
        std::set<std::string> pools;
    };

    static bool live(const Member &member, Clock::TimePoint now);
    static const char *stateName(const Member &member, Clock::TimePoint now);

    mutable RankedMutex m_mutex{LockRank::Members};
    std::map<std::string, Member> m_members;
};

} // namespace Guavalock

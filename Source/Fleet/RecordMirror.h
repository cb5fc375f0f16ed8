#pragma once

#include "Fleet/RecordUpdate.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// Holds the newest record of each key of the followed topics, from the store and from peers. Rank Configuration.
///
/// A record replaces another only with a larger offset, whoever brings it, so nothing held ever goes back.
class RecordMirror
{
public:
    struct Progress {
        std::uint64_t next = 0; ///< The first offset not yet read.
        Clock::TimePoint confirmed; ///< When everything before that was last known to be here.
    };

    /// Takes records in; returns those that are newer than what was held. With a complete update, keys held below its offset and
    /// missing there count as dropped.
    std::vector<KeyedRecord> apply(RecordUpdate update);

    Progress progress(Topic topic) const;

    /// Returns what is held from an offset on, dropped keys included; or a complete update, when keys may have been dropped since
    /// that offset without this mirror having heard of them.
    RecordUpdate since(Topic topic, std::uint64_t from) const;

private:
    struct Held {
        std::map<std::string, KeyedRecord> records;
        Progress progress;
        std::uint64_t dropsKnownFrom = 0; ///< Every drop from this offset on is held.
    };

    static void addDrops(const Held &held, RecordUpdate &update);

    /// Takes one record in, if it is newer.
    static bool adopt(Held &held, const KeyedRecord &record);

    Held &held(Topic topic);
    const Held &held(Topic topic) const;

    mutable RankedMutex m_mutex{LockRank::Configuration};
    std::array<Held, allTopics.size()> m_topics;
};

} // namespace Guavalock

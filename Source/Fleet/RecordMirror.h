#pragma once

#include "Fleet/KeyedRecord.h"
#include "Fleet/Topic.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <array>
#include <map>
#include <optional>
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
        std::optional<Clock::TimePoint> confirmed; ///< When the store or a peer that reads it last told of the topic's end.
    };

    /// Takes records in; returns those that are newer than what was held.
    std::vector<KeyedRecord> apply(Topic topic, const std::vector<KeyedRecord> &records, std::uint64_t next, Clock::TimePoint now);

    /// Takes the complete newest records in. Keys held below the offset and missing there count as dropped.
    std::vector<KeyedRecord> replace(Topic topic, const std::vector<KeyedRecord> &newest, std::uint64_t next, Clock::TimePoint now);

    Progress progress(Topic topic) const;

    /// Returns held records from an offset on, dropped keys included.
    std::vector<KeyedRecord> since(Topic topic, std::uint64_t from) const;

private:
    struct Held {
        std::map<std::string, KeyedRecord> records;
        Progress progress;
    };

    /// Takes one record in, if it is newer.
    static bool adopt(Held &held, const KeyedRecord &record);

    Held &held(Topic topic);
    const Held &held(Topic topic) const;

    mutable RankedMutex m_mutex{LockRank::Configuration};
    std::array<Held, allTopics.size()> m_topics;
};

} // namespace Guavalock

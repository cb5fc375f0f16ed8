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

/// Holds the latest record of each key of all topics, from the store and from peers. Lock rank: Configuration.
///
/// A record replaces another only if its offset is larger, regardless of its source, so a key never reverts to an older record.
class RecordMirror
{
public:
    struct Progress {
        std::uint64_t next = 0; ///< First offset that has not been read.
        Clock::TimePoint confirmed; ///< When the mirror was last known to be complete up to that offset.
    };

    /// Applies an update and returns the records that are newer than the stored ones. If the update is complete, stored keys that it does
    /// not contain and whose offset is below its end count as deleted.
    std::vector<KeyedRecord> apply(RecordUpdate update);

    Progress progress(Topic topic) const;

    /// Returns the records from an offset on, including deletions. Returns a complete update instead if keys may have been deleted since
    /// that offset without this mirror having received the deletion.
    RecordUpdate updateSince(Topic topic, std::uint64_t from) const;

private:
    struct TopicState {
        std::map<std::string, KeyedRecord> records;
        Progress progress;
        std::uint64_t deletionsKnownFrom = 0; ///< All deletions from this offset on are present.
    };

    /// Adds a deletion to a complete update for each stored key that the update lacks.
    static void addDeletions(const TopicState &state, RecordUpdate &update);

    /// Stores a record if it is newer. Returns whether it was stored.
    static bool storeIfNewer(TopicState &state, const KeyedRecord &record);

    TopicState &topicState(Topic topic);
    const TopicState &topicState(Topic topic) const;

    mutable RankedMutex m_mutex{LockRank::Configuration};
    std::array<TopicState, allTopics.size()> m_topics;
};

} // namespace Guavalock

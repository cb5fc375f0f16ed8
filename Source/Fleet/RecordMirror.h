#pragma once

#include "Fleet/RecordRevision.h"
#include "Fleet/RecordUpdate.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Holds the latest record of each key of all topics, from the store and from peers. Lock rank: Configuration.
///
/// Within an era of the store, a record replaces another only if its offset is larger, regardless of its source, so a key never reverts to
/// an older record. A new era begins with a complete update, which is an older copy of the topic and what has been written since. Of a key
/// whose values state their revision, the copy's value is taken only if it is newer. Other values that the copy lacks, or that differ
/// without being known to be newer, are held until their writers have had time to write them again.
class RecordMirror
{
public:
    /// Time within which targets and the operator write again what the store has lost. Targets do so within two seconds.
    static constexpr std::chrono::seconds rewriteTime{3};

    /// Returns the revision of a value, or nothing if it does not state one.
    using RevisionOf = std::function<std::optional<RecordRevision>(Topic topic, const std::string &key, const std::string &value)>;

    explicit RecordMirror(RevisionOf revisionOf = {});

    struct Progress {
        std::uint64_t next = 0; ///< First offset that has not been read.
        Clock::TimePoint confirmed; ///< When the mirror was last known to be complete up to that offset.
        std::uint64_t era = 0;
    };

    /// Applies an update and returns the records that are newer than the stored ones. If the update is complete, stored keys that it does
    /// not contain and whose offset is below its end count as deleted. An update of an earlier era, or one of a later era that is not
    /// complete, changes nothing.
    std::vector<KeyedRecord> apply(RecordUpdate update);

    /// Takes over the time of a complete update that contains nothing new. Returns false if it may, and has to be applied.
    bool confirm(const RecordUpdate &update);

    /// Ends the holding of records whose time has passed, and returns what the store has instead.
    std::vector<KeyedRecord> releaseHeld(Topic topic, Clock::TimePoint now);

    /// Returns the keys that the store lacks or has with other values, with the time until which the known values are held.
    std::map<std::string, Clock::TimePoint> heldKeys(Topic topic) const;

    Progress progress(Topic topic) const;

    /// Returns the records from a position on, including deletions. Returns a complete update instead if keys may have been deleted since
    /// that position without this mirror having received the deletion, or if the position is of another era.
    RecordUpdate updateSince(Topic topic, RecordPosition from) const;

private:
    /// What the store has instead of a record of an earlier era.
    struct Held {
        std::optional<std::string> storeValue;
        Clock::TimePoint until;
    };

    struct TopicState {
        std::map<std::string, KeyedRecord> records;
        std::map<std::string, RecordRevision> deletedRevisions; ///< Of the last values of deleted keys.
        std::map<std::string, Held> held;
        Progress progress;
        std::uint64_t deletionsKnownFrom = 0; ///< All deletions from this offset on are present.
    };

    /// Adds a deletion to a complete update for each stored key that the update lacks.
    static void addDeletions(const TopicState &state, RecordUpdate &update);

    /// Stores a record if it is newer. Returns whether it was stored.
    bool storeIfNewer(Topic topic, TopicState &state, const KeyedRecord &record);

    void store(Topic topic, TopicState &state, const KeyedRecord &record);

    /// Begins the era of a complete update. Returns the records that are newer than the stored ones.
    std::vector<KeyedRecord> beginEra(TopicState &state, const RecordUpdate &update);

    /// Returns whether a record of a copy, or written since, is known to be newer than the record of an earlier era; nothing if it may be.
    std::optional<bool> isNewer(Topic topic, const TopicState &state, const KeyedRecord &record, const KeyedRecord &known) const;

    /// Adopts records that a peer holds and this mirror doesn't know.
    std::vector<KeyedRecord> adoptHeld(TopicState &state, const RecordUpdate &update);

    std::optional<RecordRevision> revisionOf(Topic topic, const KeyedRecord &record) const;

    TopicState &topicState(Topic topic);
    const TopicState &topicState(Topic topic) const;

    RevisionOf m_revisionOf;
    mutable RankedMutex m_mutex{LockRank::Configuration};
    std::array<TopicState, allTopics.size()> m_topics;
};

} // namespace Guavalock

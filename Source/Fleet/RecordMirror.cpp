#include "Fleet/RecordMirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Guavalock
{

RecordMirror::RecordMirror(RevisionOf revisionOf)
    : m_revisionOf(std::move(revisionOf))
{
}

std::optional<RecordRevision> RecordMirror::revisionOf(Topic topic, const KeyedRecord &record) const
{
    return m_revisionOf && record.value ? m_revisionOf(topic, record.key, *record.value) : std::nullopt;
}

void RecordMirror::store(Topic topic, TopicState &state, const KeyedRecord &record)
{
    KeyedRecord &stored = state.records[record.key];
    if (!record.value) {
        if (const std::optional<RecordRevision> revision = revisionOf(topic, stored)) {
            state.deletedRevisions[record.key] = *revision;
        }
    }
    stored = record;
    state.held.erase(record.key);
}

bool RecordMirror::storeIfNewer(Topic topic, TopicState &state, const KeyedRecord &record)
{
    const auto it = state.records.find(record.key);
    if (it != state.records.end() && record.offset <= it->second.offset) {
        return false;
    }
    store(topic, state, record);
    return true;
}

RecordMirror::TopicState &RecordMirror::topicState(Topic topic)
{
    return m_topics.at(static_cast<std::size_t>(topic));
}

const RecordMirror::TopicState &RecordMirror::topicState(Topic topic) const
{
    return m_topics.at(static_cast<std::size_t>(topic));
}

void RecordMirror::addDeletions(const TopicState &state, RecordUpdate &update)
{
    std::set<std::string> keys;
    for (const KeyedRecord &it : update.records) {
        keys.insert(it.key);
    }
    for (const auto &[key, record] : state.records) {
        if (record.value && record.offset < update.next && !keys.contains(key) && !state.held.contains(key)) {
            update.records.push_back({key, std::nullopt, update.next - 1, update.era});
        }
    }
}

std::optional<bool> RecordMirror::isNewer(Topic topic, const TopicState &state, const KeyedRecord &record, const KeyedRecord &known) const
{
    const std::optional<RecordRevision> revision = revisionOf(topic, record);
    const auto deleted = state.deletedRevisions.find(record.key);
    const std::optional<RecordRevision> knownRevision = known.value ? revisionOf(topic, known)
        : deleted != state.deletedRevisions.end()                   ? std::optional(deleted->second)
                                                                    : std::nullopt;
    if (revision && knownRevision) {
        return revision->isAfter(*knownRevision);
    }
    // The copy is a part of the known history, so a larger offset is newer. A smaller one may have been given out again.
    return record.offset > known.offset ? std::optional(true) : std::nullopt;
}

std::vector<KeyedRecord> RecordMirror::beginEra(TopicState &state, const RecordUpdate &update)
{
    std::map<std::string, KeyedRecord> before = std::exchange(state.records, {});
    state.held.clear();
    state.progress = {update.next, update.confirmed, update.era};
    state.deletionsKnownFrom = update.next;
    // Daemons are told apart by their links. That the record of one is lost does not mean that it has left.
    const Clock::TimePoint until = update.topic == Topic::Members ? Clock::TimePoint::max() : update.confirmed + rewriteTime;
    std::vector<KeyedRecord> newer;
    for (const KeyedRecord &it : update.records) {
        const auto known = before.find(it.key);
        const std::optional<bool> isNew = known == before.end() ? true : isNewer(update.topic, state, it, known->second);
        const bool isEqual = known != before.end() && known->second.value == it.value;
        if (isNew.value_or(false) || isEqual) {
            store(update.topic, state, it);
            if (!isEqual) {
                newer.push_back(it);
            }
        } else {
            state.records[it.key] = {it.key, known->second.value, it.offset, update.era};
            if (!isNew) {
                state.held[it.key] = {it.value, until};
            }
        }
        if (known != before.end()) {
            before.erase(known);
        }
    }
    for (const auto &[key, record] : before) {
        state.records[key] = {key, record.value, std::max<std::uint64_t>(update.next, 1) - 1, update.era};
        if (record.value) {
            state.held[key] = {std::nullopt, until};
        }
    }
    return newer;
}

std::vector<KeyedRecord> RecordMirror::adoptHeld(TopicState &state, const RecordUpdate &update)
{
    std::vector<KeyedRecord> adopted;
    for (const auto &[record, until] : update.held) {
        if (state.records.contains(record.key)) {
            continue;
        }
        store(update.topic, state, record);
        state.held[record.key] = {std::nullopt, until};
        adopted.push_back(record);
    }
    return adopted;
}

std::vector<KeyedRecord> RecordMirror::apply(RecordUpdate update)
{
    const std::scoped_lock lock(m_mutex);
    TopicState &state = topicState(update.topic);
    const bool isLater = update.era > state.progress.era;
    if (update.era < state.progress.era || (isLater && !update.complete)) {
        return {};
    }
    for (KeyedRecord &it : update.records) {
        it.era = update.era;
    }
    std::vector<KeyedRecord> newer;
    if (isLater) {
        newer = beginEra(state, update);
    } else {
        if (update.complete) {
            addDeletions(state, update);
            state.deletionsKnownFrom = std::max(state.deletionsKnownFrom, update.next);
        }
        for (const KeyedRecord &it : update.records) {
            if (storeIfNewer(update.topic, state, it)) {
                newer.push_back(it);
            }
        }
        if (update.next >= state.progress.next) {
            state.progress.next = update.next;
            state.progress.confirmed = std::max(state.progress.confirmed, update.confirmed);
        }
    }
    const std::vector<KeyedRecord> adopted = adoptHeld(state, update);
    newer.insert(newer.end(), adopted.begin(), adopted.end());
    return newer;
}

bool RecordMirror::confirm(const RecordUpdate &update)
{
    const std::scoped_lock lock(m_mutex);
    Progress &progress = topicState(update.topic).progress;
    const bool isKnown = update.era < progress.era || (update.era == progress.era && update.next <= progress.next && update.held.empty());
    if (!update.complete || !isKnown || progress.next == 0) {
        return false;
    }
    if (update.era == progress.era && update.next == progress.next) {
        progress.confirmed = std::max(progress.confirmed, update.confirmed);
    }
    return true;
}

std::vector<KeyedRecord> RecordMirror::releaseHeld(Topic topic, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    TopicState &state = topicState(topic);
    std::vector<KeyedRecord> released;
    for (auto it = state.held.begin(); it != state.held.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        KeyedRecord &record = state.records[it->first];
        record.value = it->second.storeValue;
        released.push_back(record);
        it = state.held.erase(it);
    }
    return released;
}

std::map<std::string, Clock::TimePoint> RecordMirror::heldKeys(Topic topic) const
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, Clock::TimePoint> keys;
    for (const auto &[key, held] : topicState(topic).held) {
        keys[key] = held.until;
    }
    return keys;
}

RecordMirror::Progress RecordMirror::progress(Topic topic) const
{
    const std::scoped_lock lock(m_mutex);
    return topicState(topic).progress;
}

RecordUpdate RecordMirror::updateSince(Topic topic, RecordPosition from) const
{
    const std::scoped_lock lock(m_mutex);
    const TopicState &state = topicState(topic);
    const bool complete = from.era != state.progress.era || from.offset < state.deletionsKnownFrom;
    RecordUpdate update{topic, {}, state.progress.next, state.progress.confirmed, complete, state.progress.era, {}};
    for (const auto &[key, record] : state.records) {
        const auto held = state.held.find(key);
        if (held == state.held.end()) {
            if (complete ? record.value.has_value() : record.offset >= from.offset) {
                update.records.push_back(record);
            }
            continue;
        }
        if (complete && held->second.storeValue) {
            update.records.push_back({key, held->second.storeValue, record.offset, record.era});
        }
        if (complete && record.value) {
            update.held.push_back({record, held->second.until});
        }
    }
    return update;
}

} // namespace Guavalock

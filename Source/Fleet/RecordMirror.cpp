#include "Fleet/RecordMirror.h"

#include <algorithm>
#include <set>

namespace Guavalock
{

bool RecordMirror::storeIfNewer(TopicState &state, const KeyedRecord &record)
{
    const auto [it, isNew] = state.records.try_emplace(record.key, record);
    if (isNew) {
        return true;
    }
    if (record.offset <= it->second.offset) {
        return false;
    }
    it->second = record;
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
        if (record.value && record.offset < update.next && !keys.contains(key)) {
            update.records.push_back({key, std::nullopt, update.next - 1});
        }
    }
}

std::vector<KeyedRecord> RecordMirror::apply(RecordUpdate update)
{
    const std::scoped_lock lock(m_mutex);
    TopicState &state = topicState(update.topic);
    if (update.complete) {
        addDeletions(state, update);
        state.deletionsKnownFrom = std::max(state.deletionsKnownFrom, update.next);
    }
    std::vector<KeyedRecord> newer;
    for (const KeyedRecord &it : update.records) {
        if (storeIfNewer(state, it)) {
            newer.push_back(it);
        }
    }
    if (update.next >= state.progress.next) {
        state.progress.next = update.next;
        state.progress.confirmed = std::max(state.progress.confirmed, update.confirmed);
    }
    return newer;
}

RecordMirror::Progress RecordMirror::progress(Topic topic) const
{
    const std::scoped_lock lock(m_mutex);
    return topicState(topic).progress;
}

RecordUpdate RecordMirror::updateSince(Topic topic, std::uint64_t from) const
{
    const std::scoped_lock lock(m_mutex);
    const TopicState &state = topicState(topic);
    const bool complete = from < state.deletionsKnownFrom;
    RecordUpdate update{topic, {}, state.progress.next, state.progress.confirmed, complete};
    for (const auto &[key, record] : state.records) {
        if (complete ? record.value.has_value() : record.offset >= from) {
            update.records.push_back(record);
        }
    }
    return update;
}

} // namespace Guavalock

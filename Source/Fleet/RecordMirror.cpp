#include "Fleet/RecordMirror.h"

#include <algorithm>
#include <set>

namespace Guavalock
{

bool RecordMirror::adopt(Held &held, const KeyedRecord &record)
{
    const auto [it, isNew] = held.records.try_emplace(record.key, record);
    if (isNew) {
        return true;
    }
    if (record.offset <= it->second.offset) {
        return false;
    }
    it->second = record;
    return true;
}

RecordMirror::Held &RecordMirror::held(Topic topic)
{
    return m_topics.at(static_cast<std::size_t>(topic));
}

const RecordMirror::Held &RecordMirror::held(Topic topic) const
{
    return m_topics.at(static_cast<std::size_t>(topic));
}

void RecordMirror::addDrops(const Held &held, RecordUpdate &update)
{
    std::set<std::string> keys;
    for (const KeyedRecord &it : update.records) {
        keys.insert(it.key);
    }
    for (const auto &[key, record] : held.records) {
        if (record.value && record.offset < update.next && !keys.contains(key)) {
            update.records.push_back({key, std::nullopt, update.next - 1});
        }
    }
}

std::vector<KeyedRecord> RecordMirror::apply(RecordUpdate update)
{
    const std::scoped_lock lock(m_mutex);
    Held &held = this->held(update.topic);
    if (update.complete) {
        addDrops(held, update);
        held.dropsKnownFrom = std::max(held.dropsKnownFrom, update.next);
    }
    std::vector<KeyedRecord> newer;
    for (const KeyedRecord &it : update.records) {
        if (adopt(held, it)) {
            newer.push_back(it);
        }
    }
    if (update.next >= held.progress.next) {
        held.progress.next = update.next;
        held.progress.confirmed = std::max(held.progress.confirmed, update.confirmed);
    }
    return newer;
}

RecordMirror::Progress RecordMirror::progress(Topic topic) const
{
    const std::scoped_lock lock(m_mutex);
    return held(topic).progress;
}

RecordUpdate RecordMirror::since(Topic topic, std::uint64_t from) const
{
    const std::scoped_lock lock(m_mutex);
    const Held &held = this->held(topic);
    const bool complete = from < held.dropsKnownFrom;
    RecordUpdate update{topic, {}, held.progress.next, held.progress.confirmed, complete};
    for (const auto &[key, record] : held.records) {
        if (complete ? record.value.has_value() : record.offset >= from) {
            update.records.push_back(record);
        }
    }
    return update;
}

} // namespace Guavalock

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

std::vector<KeyedRecord> RecordMirror::apply(Topic topic, const std::vector<KeyedRecord> &records, std::uint64_t next,
                                             Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Held &held = this->held(topic);
    std::vector<KeyedRecord> newer;
    for (const KeyedRecord &it : records) {
        if (adopt(held, it)) {
            newer.push_back(it);
        }
    }
    if (next >= held.progress.next) {
        held.progress = {next, now};
    }
    return newer;
}

std::vector<KeyedRecord> RecordMirror::replace(Topic topic, const std::vector<KeyedRecord> &newest, std::uint64_t next,
                                               Clock::TimePoint now)
{
    std::set<std::string> keys;
    for (const KeyedRecord &it : newest) {
        keys.insert(it.key);
    }
    std::vector<KeyedRecord> changes = newest;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[key, record] : held(topic).records) {
            if (record.value && record.offset < next && !keys.contains(key)) {
                changes.push_back({key, std::nullopt, next - 1});
            }
        }
    }
    return apply(topic, changes, next, now);
}

RecordMirror::Progress RecordMirror::progress(Topic topic) const
{
    const std::scoped_lock lock(m_mutex);
    return held(topic).progress;
}

std::vector<KeyedRecord> RecordMirror::since(Topic topic, std::uint64_t from) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<KeyedRecord> found;
    for (const auto &[key, record] : held(topic).records) {
        if (record.offset >= from) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace Guavalock

#include "Rollout/EvidenceCollection.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::size_t maxSources = 2'048; ///< Incarnations of daemons; several times the largest fleet.

} // namespace

void EvidenceCollection::add(const RolloutEvidence &evidence, Clock::TimePoint now)
{
    const std::pair key(evidence.vm, evidence.incarnation);
    const auto it = m_sources.find(key);
    if (it == m_sources.end() && m_sources.size() >= maxSources) {
        return;
    }
    if (it == m_sources.end() || evidence.sequence > it->second.evidence.sequence) {
        m_sources[key] = {evidence, now};
    }
}

CountsByRoute EvidenceCollection::total() const
{
    CountsByRoute all;
    for (const auto &[key, source] : m_sources) {
        for (const auto &[route, counts] : source.evidence.routes) {
            all[route].newVersion += counts.newVersion;
            all[route].otherVersions += counts.otherVersions;
        }
    }
    return all;
}

CountsByRoute EvidenceCollection::difference(CountsByRoute counts, const CountsByRoute &before)
{
    for (auto &[route, it] : counts) {
        if (const auto known = before.find(route); known != before.end()) {
            it.newVersion -= known->second.newVersion;
            it.otherVersions -= known->second.otherVersions;
        }
    }
    return counts;
}

void EvidenceCollection::advance(Clock::TimePoint now)
{
    CountsByRoute all = total();
    const bool isUsed = std::ranges::any_of(all, [](const auto &it) { return it.second.newVersion != VersionCounts(); });
    if (!isUsed) {
        m_before = all;
    }
    m_history.emplace_back(now, std::move(all));
    // The newest state that is old enough remains.
    while (m_history.size() > 1 && m_history[1].first <= now - recentTime) {
        m_history.pop_front();
    }
}

CountsByRoute EvidenceCollection::period() const
{
    return m_before ? difference(total(), *m_before) : total();
}

CountsByRoute EvidenceCollection::recent() const
{
    return m_history.empty() ? total() : difference(total(), m_history.front().second);
}

std::uint64_t EvidenceCollection::inProgress(std::uint64_t RolloutEvidence::*field, Clock::TimePoint now) const
{
    std::uint64_t sum = 0;
    for (const auto &[key, source] : m_sources) {
        sum += now - source.received <= silenceTime ? source.evidence.*field : 0;
    }
    return sum;
}

std::uint64_t EvidenceCollection::inProgressNew(Clock::TimePoint now) const
{
    return inProgress(&RolloutEvidence::inProgressNew, now);
}

std::uint64_t EvidenceCollection::inProgressOther(Clock::TimePoint now) const
{
    return inProgress(&RolloutEvidence::inProgressOther, now);
}

std::size_t EvidenceCollection::daemons(Clock::TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_sources, [now](const auto &it) { return now - it.second.received <= silenceTime; }));
}

} // namespace Guavalock

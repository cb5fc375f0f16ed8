#include "Decisions/SlotQueue.h"

#include <algorithm>
#include <tuple>

namespace Guavalock
{

namespace
{

auto priorityKey(const SlotQueue::Entry &entry)
{
    return std::tuple(!entry.requirements.urgent, entry.requirements.deadline, entry.ticket);
}

} // namespace

void SlotQueue::push(Entry entry)
{
    m_organisationOf[entry.ticket] = entry.requirements.organisation;
    const auto [it, inserted] = m_organisations.try_emplace(entry.requirements.organisation);
    Organisation &organisation = it->second;
    if (inserted) {
        organisation.normalisedService = m_virtualTime;
    }
    const auto position = std::ranges::upper_bound(organisation.waiting, priorityKey(entry), {}, priorityKey);
    organisation.waiting.insert(position, std::move(entry));
}

const SlotQueue::Entry *SlotQueue::next() const
{
    const auto it = std::ranges::min_element(m_organisations, {}, [](const auto &pair) { return pair.second.normalisedService; });
    return it == m_organisations.end() ? nullptr : &it->second.waiting.front();
}

std::optional<SlotQueue::Entry> SlotQueue::extract(Ticket ticket)
{
    const auto owner = m_organisationOf.find(ticket);
    if (owner == m_organisationOf.end()) {
        return std::nullopt;
    }
    std::list<Entry> &waiting = m_organisations[owner->second].waiting;
    const auto it = std::ranges::find(waiting, ticket, &Entry::ticket);
    Entry entry = std::move(*it);
    waiting.erase(it);
    m_organisationOf.erase(owner);
    return entry;
}

void SlotQueue::markServed(Ticket ticket)
{
    const std::optional<Entry> entry = extract(ticket);
    if (!entry) {
        return;
    }
    const auto it = m_organisations.find(entry->requirements.organisation);
    m_virtualTime = std::max(m_virtualTime, it->second.normalisedService);
    it->second.normalisedService += 1.0 / static_cast<double>(entry->requirements.weight);
    if (it->second.waiting.empty()) {
        m_organisations.erase(it);
    }
}

bool SlotQueue::withdraw(Ticket ticket)
{
    const std::optional<Entry> entry = extract(ticket);
    if (!entry) {
        return false;
    }
    const auto it = m_organisations.find(entry->requirements.organisation);
    if (it->second.waiting.empty()) {
        m_organisations.erase(it);
    }
    return true;
}

std::size_t SlotQueue::size() const
{
    return m_organisationOf.size();
}

} // namespace Guavalock

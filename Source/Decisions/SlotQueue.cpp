#include "Decisions/SlotQueue.h"

#include <algorithm>
#include <tuple>

namespace Guavalock
{

namespace
{

auto urgency(const SlotQueue::Entry &entry)
{
    return std::tuple(!entry.demand.urgent, entry.demand.deadline, entry.ticket);
}

} // namespace

void SlotQueue::push(Entry entry)
{
    m_organisationOf[entry.ticket] = entry.demand.organisation;
    const auto [it, fresh] = m_waiting.try_emplace(entry.demand.organisation);
    Organisation &organisation = it->second;
    if (fresh) {
        organisation.served = m_level;
    }
    const auto place = std::ranges::upper_bound(organisation.waiting, urgency(entry), {}, urgency);
    organisation.waiting.insert(place, std::move(entry));
}

const SlotQueue::Entry *SlotQueue::next() const
{
    const auto it = std::ranges::min_element(m_waiting, {}, [](const auto &pair) { return pair.second.served; });
    return it == m_waiting.end() ? nullptr : &it->second.waiting.front();
}

std::optional<SlotQueue::Entry> SlotQueue::take(Ticket ticket)
{
    const auto owner = m_organisationOf.find(ticket);
    if (owner == m_organisationOf.end()) {
        return std::nullopt;
    }
    std::list<Entry> &waiting = m_waiting[owner->second].waiting;
    const auto it = std::ranges::find(waiting, ticket, &Entry::ticket);
    Entry entry = std::move(*it);
    waiting.erase(it);
    m_organisationOf.erase(owner);
    return entry;
}

void SlotQueue::served(Ticket ticket)
{
    const std::optional<Entry> entry = take(ticket);
    if (!entry) {
        return;
    }
    const auto it = m_waiting.find(entry->demand.organisation);
    m_level = std::max(m_level, it->second.served);
    it->second.served += 1.0 / static_cast<double>(entry->demand.weight);
    if (it->second.waiting.empty()) {
        m_waiting.erase(it);
    }
}

bool SlotQueue::withdraw(Ticket ticket)
{
    const std::optional<Entry> entry = take(ticket);
    if (!entry) {
        return false;
    }
    const auto it = m_waiting.find(entry->demand.organisation);
    if (it->second.waiting.empty()) {
        m_waiting.erase(it);
    }
    return true;
}

std::size_t SlotQueue::size() const
{
    return m_organisationOf.size();
}

} // namespace Guavalock

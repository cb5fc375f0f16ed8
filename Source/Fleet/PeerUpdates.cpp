#include "Fleet/PeerUpdates.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace Guavalock
{

namespace
{

auto ageOf(const RecordUpdate &update)
{
    return std::tuple(update.era, update.next, update.confirmed);
}

} // namespace

bool PeerUpdates::add(RecordUpdate update)
{
    const std::scoped_lock lock(m_mutex);
    const bool isFirst = m_complete.empty() && m_partial.empty();
    const Topic topic = update.topic;
    if (update.complete) {
        const auto known = std::ranges::find(m_complete, topic, &RecordUpdate::topic);
        if (known == m_complete.end()) {
            m_complete.push_back(std::move(update));
        } else if (ageOf(update) >= ageOf(*known)) {
            *known = std::move(update);
        }
        return isFirst;
    }
    if (static_cast<std::size_t>(std::ranges::count(m_partial, topic, &RecordUpdate::topic)) < maxPartial) {
        m_partial.push_back(std::move(update));
    }
    return isFirst;
}

std::vector<RecordUpdate> PeerUpdates::take()
{
    const std::scoped_lock lock(m_mutex);
    std::vector<RecordUpdate> updates = std::exchange(m_complete, {});
    std::ranges::move(m_partial, std::back_inserter(updates));
    m_partial.clear();
    return updates;
}

} // namespace Guavalock

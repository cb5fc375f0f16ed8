#include "Decisions/WaitingTurns.h"

#include <algorithm>

namespace Guavalock
{

void WaitingTurns::join(const std::string &id, unsigned rank)
{
    if (std::ranges::find(m_entries, id, &Entry::id) == m_entries.end()) {
        m_entries.insert(std::ranges::upper_bound(m_entries, rank, {}, &Entry::rank), {id, rank});
    }
}

void WaitingTurns::leave(const std::string &id)
{
    std::erase_if(m_entries, [&](const Entry &it) { return it.id == id; });
}

std::size_t WaitingTurns::ahead(const std::string &id, unsigned rank) const
{
    const auto own = std::ranges::find(m_entries, id, &Entry::id);
    const auto end = own != m_entries.end() ? own : std::ranges::upper_bound(m_entries, rank, {}, &Entry::rank);
    return static_cast<std::size_t>(end - m_entries.begin());
}

bool WaitingTurns::empty() const
{
    return m_entries.empty();
}

} // namespace Guavalock

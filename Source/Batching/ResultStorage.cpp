#include "Batching/ResultStorage.h"

namespace Guavalock
{

std::uint64_t ResultStorage::available(std::uint64_t capacity, Clock::TimePoint now)
{
    for (auto it = m_results.begin(); it != m_results.end();) {
        if (it->second.expiry <= now) {
            m_trackedBytes -= it->second.bytes;
            it = m_results.erase(it);
        } else {
            ++it;
        }
    }
    const std::uint64_t occupied = m_trackedBytes + (now < m_untrackedExpiry ? m_untrackedBytes : 0);
    return occupied >= capacity ? 0 : capacity - occupied;
}

void ResultStorage::add(const std::string &handle, std::uint64_t bytes, Clock::TimePoint expiry)
{
    if (m_results.emplace(handle, StoredResult{bytes, expiry}).second) {
        m_trackedBytes += bytes;
    }
}

void ResultStorage::free(const std::string &handle)
{
    const auto it = m_results.find(handle);
    if (it != m_results.end()) {
        m_trackedBytes -= it->second.bytes;
        m_results.erase(it);
    }
}

void ResultStorage::addUntracked(std::uint64_t bytes, Clock::TimePoint now, Clock::TimePoint expiry)
{
    m_untrackedBytes = (now < m_untrackedExpiry ? m_untrackedBytes : 0) + bytes;
    m_untrackedExpiry = expiry;
}

} // namespace Guavalock

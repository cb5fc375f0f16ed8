#include "Batching/ResultRoom.h"

namespace Guavalock
{

std::uint64_t ResultRoom::left(std::uint64_t room, Clock::TimePoint now)
{
    for (auto it = m_held.begin(); it != m_held.end();) {
        if (it->second.until <= now) {
            m_bytes -= it->second.bytes;
            it = m_held.erase(it);
        } else {
            ++it;
        }
    }
    const std::uint64_t taken = m_bytes + (now < m_foreignUntil ? m_foreignBytes : 0);
    return taken >= room ? 0 : room - taken;
}

void ResultRoom::add(const std::string &handle, std::uint64_t bytes, Clock::TimePoint until)
{
    if (m_held.emplace(handle, Held{bytes, until}).second) {
        m_bytes += bytes;
    }
}

void ResultRoom::free(const std::string &handle)
{
    const auto it = m_held.find(handle);
    if (it != m_held.end()) {
        m_bytes -= it->second.bytes;
        m_held.erase(it);
    }
}

void ResultRoom::lacked(std::uint64_t bytes, Clock::TimePoint now, Clock::TimePoint until)
{
    m_foreignBytes = (now < m_foreignUntil ? m_foreignBytes : 0) + bytes;
    m_foreignUntil = until;
}

} // namespace Guavalock

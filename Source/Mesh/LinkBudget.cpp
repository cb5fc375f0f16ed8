#include "Mesh/LinkBudget.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::size_t memoryDivisor = 16; ///< Hubs of 512 MB exceeded their memory with 450 MB of queued frames.
constexpr std::size_t shareDivisor = 4;

} // namespace

std::size_t LinkBudget::bytesFor(std::size_t memoryBytes)
{
    return memoryBytes == 0 ? defaultBytes : std::max(memoryBytes / memoryDivisor, minBytes);
}

LinkBudget::LinkBudget(std::size_t bytes)
    : m_bytes(bytes)
{
}

std::size_t LinkBudget::share() const
{
    return m_bytes / shareDivisor;
}

std::size_t LinkBudget::charge(std::size_t bytes) const
{
    return std::min(bytes, share());
}

void LinkBudget::add(const SharedFrame &frame)
{
    if (++m_frames[frame] == 1) {
        m_used += charge(frame->size());
        m_oversized += frame->size() > share() ? 1 : 0;
    }
}

void LinkBudget::remove(const SharedFrame &frame)
{
    const auto it = m_frames.find(frame);
    if (--it->second == 0) {
        m_used -= charge(frame->size());
        m_oversized -= frame->size() > share() ? 1 : 0;
        m_frames.erase(it);
    }
}

std::size_t LinkBudget::used() const
{
    return m_used;
}

bool LinkBudget::isExceeded() const
{
    return m_used > m_bytes;
}

bool LinkBudget::hasRoomForRecords(std::size_t bytes) const
{
    const bool isOversized = bytes > share();
    return m_used + charge(bytes) <= m_bytes - share() && (!isOversized || m_oversized == 0);
}

} // namespace Guavalock

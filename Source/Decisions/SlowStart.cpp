#include "Decisions/SlowStart.h"

#include <algorithm>

namespace Guavalock
{

void SlowStart::restart(std::size_t floor)
{
    m_limit = floor;
    m_successes = 0;
}

void SlowStart::recordSuccess(std::size_t ceiling)
{
    if (m_limit >= ceiling) {
        return;
    }
    ++m_successes;
    if (m_successes >= m_limit) {
        m_limit = std::max<std::size_t>(1, m_limit * 2);
        m_successes = 0;
    }
}

std::size_t SlowStart::limit(std::size_t ceiling) const
{
    return std::min(m_limit, ceiling);
}

} // namespace Guavalock

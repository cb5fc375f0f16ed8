#include "Fleet/IdleConnectionLimit.h"

#include <algorithm>
#include <limits>

namespace Guavalock
{

namespace
{

/// Half of the accepted connections is reserved for requests in progress and for daemons not yet known.
constexpr std::size_t idleConnectionDivisor = 2;

} // namespace

void IdleConnectionLimit::setMemberCount(std::size_t members)
{
    m_memberCount = std::max<std::size_t>(members, 1);
}

std::size_t IdleConnectionLimit::perTarget(std::size_t accepted) const
{
    return accepted == 0 ? std::numeric_limits<std::size_t>::max() : accepted / idleConnectionDivisor / m_memberCount;
}

} // namespace Guavalock

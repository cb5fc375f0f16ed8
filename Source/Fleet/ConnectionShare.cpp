#include "Fleet/ConnectionShare.h"

#include <algorithm>
#include <limits>

namespace Guavalock
{

namespace
{

constexpr std::size_t idleDivisor = 2; ///< Half of what a target accepts is left to requests in progress and to daemons not yet known.

} // namespace

void ConnectionShare::setMembers(std::size_t members)
{
    m_members = std::max<std::size_t>(members, 1);
}

std::size_t ConnectionShare::idle(std::size_t accepted) const
{
    return accepted == 0 ? std::numeric_limits<std::size_t>::max() : accepted / idleDivisor / m_members;
}

} // namespace Guavalock

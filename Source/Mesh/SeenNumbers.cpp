#include "Mesh/SeenNumbers.h"

#include <algorithm>

namespace Guavalock
{

bool SeenNumbers::insert(const EvidenceOrigin &origin, Clock::TimePoint now)
{
    const auto [it, isNew] = m_origins.try_emplace({origin.vm, origin.incarnation});
    Origin &known = it->second;
    known.lastReceived = now;
    if (isNew) {
        known.highest = origin.number;
        known.recent.set(origin.number % window);
        limitOrigins();
        return true;
    }
    if (origin.number > known.highest) {
        if (origin.number - known.highest >= window) {
            known.recent.reset();
        } else {
            for (std::uint64_t n = known.highest + 1; n < origin.number; ++n) {
                known.recent.reset(n % window);
            }
        }
        known.highest = origin.number;
        known.recent.set(origin.number % window);
        return true;
    }
    if (known.highest - origin.number >= window || known.recent.test(origin.number % window)) {
        return false;
    }
    known.recent.set(origin.number % window);
    return true;
}

void SeenNumbers::limitOrigins()
{
    if (m_origins.size() > maxOrigins) {
        m_origins.erase(std::ranges::min_element(m_origins, {}, [](const auto &it) { return it.second.lastReceived; }));
    }
}

std::size_t SeenNumbers::originCount() const
{
    return m_origins.size();
}

} // namespace Guavalock

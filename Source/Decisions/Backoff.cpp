#include "Decisions/Backoff.h"

#include <algorithm>

namespace Guavalock
{

Backoff::Backoff(Milliseconds first, Milliseconds longest)
    : m_first(first)
    , m_longest(longest)
    , m_step(first)
{
}

Backoff::Milliseconds Backoff::next(RandomEngine &random)
{
    std::uniform_int_distribution<Milliseconds::rep> spread(m_step.count() / 2, m_step.count());
    const Milliseconds wait(spread(random));
    m_step = std::min(m_longest, m_step * 2);
    return wait;
}

void Backoff::reset()
{
    m_step = m_first;
}

} // namespace Guavalock

#include "Decisions/Backoff.h"

#include <algorithm>

namespace Guavalock
{

Backoff::Backoff(Milliseconds initial, Milliseconds maximum)
    : m_initial(initial)
    , m_maximum(maximum)
    , m_step(initial)
{
}

Backoff::Milliseconds Backoff::next(RandomEngine &random)
{
    std::uniform_int_distribution<Milliseconds::rep> jitter(m_step.count() / 2, m_step.count());
    const Milliseconds wait(jitter(random));
    m_step = std::min(m_maximum, m_step * 2);
    return wait;
}

void Backoff::reset()
{
    m_step = m_initial;
}

} // namespace Guavalock

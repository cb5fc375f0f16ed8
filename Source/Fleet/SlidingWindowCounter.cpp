#include "Fleet/SlidingWindowCounter.h"

namespace Guavalock
{

SlidingWindowCounter::SlidingWindowCounter(Clock::Duration span)
    : m_span(span)
{
}

void SlidingWindowCounter::add(Clock::TimePoint now)
{
    m_events.push_back(now);
}

std::size_t SlidingWindowCounter::count(Clock::TimePoint now)
{
    while (!m_events.empty() && m_events.front() <= now - m_span) {
        m_events.pop_front();
    }
    return m_events.size();
}

} // namespace Guavalock

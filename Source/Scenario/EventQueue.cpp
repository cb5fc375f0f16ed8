#include "Scenario/EventQueue.h"

#include <algorithm>

namespace Guavalock
{

EventQueue::EventQueue()
    : m_now(std::chrono::hours(1))
{
}

Clock::TimePoint EventQueue::now() const
{
    return m_now;
}

void EventQueue::scheduleAt(Clock::TimePoint time, Action action)
{
    m_events.emplace(std::pair(std::max(time, m_now), ++m_lastSequence), std::move(action));
}

void EventQueue::scheduleAfter(Clock::Duration wait, Action action)
{
    scheduleAt(m_now + wait, std::move(action));
}

void EventQueue::runUntil(Clock::TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
        auto node = m_events.extract(m_events.begin());
        m_now = node.key().first;
        node.mapped()();
    }
    m_now = end;
}

} // namespace Guavalock

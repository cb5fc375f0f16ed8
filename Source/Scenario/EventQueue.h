#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace Guavalock
{

/// A virtual clock with a queue of events, which run by time and then in the order in which they were scheduled.
class EventQueue
{
public:
    using Action = std::function<void()>;

    EventQueue();

    Clock::TimePoint now() const;

    void scheduleAt(Clock::TimePoint time, Action action);
    void scheduleAfter(Clock::Duration wait, Action action);

    /// Runs all events due up to and including a time, then advances the clock to it.
    void runUntil(Clock::TimePoint end);

private:
    Clock::TimePoint m_now;
    std::uint64_t m_lastSequence = 0;
    std::map<std::pair<Clock::TimePoint, std::uint64_t>, Action> m_events;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

#include <cstddef>
#include <deque>

namespace Guavalock
{

/// Counts the events within a sliding window. The limits must hold for any interval of that length, so every event is stored instead of
/// being counted in fixed intervals.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(Clock::Duration span);

    void add(Clock::TimePoint now);
    std::size_t count(Clock::TimePoint now);

private:
    Clock::Duration m_span;
    std::deque<Clock::TimePoint> m_events;
};

} // namespace Guavalock

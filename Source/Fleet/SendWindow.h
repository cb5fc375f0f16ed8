#pragma once

#include "Kernel/Clock.h"

#include <cstddef>
#include <deque>

namespace Guavalock
{

/// Counts events within the last second. Bounds that slide count any span, so events are kept one by one.
class SendWindow
{
public:
    explicit SendWindow(Clock::Duration span);

    void add(Clock::TimePoint now);
    std::size_t count(Clock::TimePoint now);

private:
    Clock::Duration m_span;
    std::deque<Clock::TimePoint> m_events;
};

} // namespace Guavalock

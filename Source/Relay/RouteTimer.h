#pragma once

#include "Relay/RouteDurations.h"

#include <string>

namespace Guavalock
{

/// Measures one request or run for RouteDurations, until it is destroyed.
class RouteTimer
{
public:
    RouteTimer(RouteDurations &durations, const Clock &clock, std::string route, RouteDurations::Span span, Clock::TimePoint start);
    ~RouteTimer();

    RouteTimer(const RouteTimer &) = delete;
    RouteTimer &operator=(const RouteTimer &) = delete;

    /// States that the response was complete.
    void setComplete();

private:
    RouteDurations &m_durations;
    const Clock &m_clock;
    std::string m_route;
    RouteDurations::Span m_span;
    Clock::TimePoint m_start;
    bool m_complete = false;
};

} // namespace Guavalock

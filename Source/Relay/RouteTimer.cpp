#include "Relay/RouteTimer.h"

namespace Guavalock
{

RouteTimer::RouteTimer(RouteDurations &durations, const Clock &clock, std::string route, RouteDurations::Span span, Clock::TimePoint start)
    : m_durations(durations)
    , m_clock(clock)
    , m_route(std::move(route))
    , m_span(span)
    , m_start(start)
{
    m_durations.begin(m_route, m_span, m_start);
}

RouteTimer::~RouteTimer()
{
    m_durations.end(m_route, m_span, m_start, m_clock.now(), m_complete);
}

void RouteTimer::setComplete()
{
    m_complete = true;
}

} // namespace Guavalock

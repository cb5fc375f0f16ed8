#pragma once

#include "Kernel/Clock.h"

#include <cstddef>

namespace Guavalock
{

/// Limits how many targets a daemon asks for a load report, so that the cost of asking does not grow with their number.
///
/// A token bucket: tokens come at a fixed rate and a burst is allowed after a start.
class ProbePlan
{
public:
    ProbePlan(double perSecond, std::size_t burst);

    /// Takes up to wanted tokens and returns how many there were.
    std::size_t take(std::size_t wanted, Clock::TimePoint now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    Clock::TimePoint m_updated{};
};

} // namespace Guavalock

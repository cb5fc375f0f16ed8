#pragma once

#include "Kernel/Clock.h"

#include <cstddef>

namespace Guavalock
{

/// Limits the rate of a daemon's load probes, so that their cost does not grow with the number of targets.
///
/// A token bucket that starts full, so that a burst is allowed after a start.
class ProbeRateLimiter
{
public:
    ProbeRateLimiter(double perSecond, std::size_t burst);

    /// Takes up to the wanted number of tokens and returns the number taken.
    std::size_t take(std::size_t wanted, Clock::TimePoint now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    Clock::TimePoint m_updated{};
};

} // namespace Guavalock

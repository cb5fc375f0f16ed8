#pragma once

#include <chrono>
#include <cstddef>

namespace Guavalock
{

/// A running estimate of how long calls take: a moving mean, and a low quantile for what is possible at best.
class DurationEstimate
{
public:
    using Duration = std::chrono::steady_clock::duration;

    void observe(Duration value);

    bool known() const;

    /// Returns the exponentially weighted mean, or zero when nothing was observed.
    Duration mean() const;

    /// Returns an estimate of the 5th percentile, or zero when nothing was observed.
    Duration low() const;

private:
    std::size_t m_count = 0;
    double m_mean = 0; ///< Seconds.
    double m_low = 0; ///< Seconds.
};

} // namespace Guavalock

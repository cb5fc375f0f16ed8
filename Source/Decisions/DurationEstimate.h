#pragma once

#include <chrono>
#include <cstddef>

namespace Guavalock
{

/// Streaming estimates of call duration: an exponentially weighted mean and a low percentile.
class DurationEstimate
{
public:
    using Duration = std::chrono::steady_clock::duration;

    void observe(Duration value);

    bool hasSamples() const;

    /// Returns the exponentially weighted mean, or zero when nothing was observed.
    Duration mean() const;

    /// Returns an estimate of the 5th percentile, at most the mean, or zero when nothing was observed.
    Duration lowPercentile() const;

private:
    std::size_t m_count = 0;
    double m_mean = 0; ///< Seconds.
    double m_lowPercentile = 0; ///< Seconds.
};

} // namespace Guavalock

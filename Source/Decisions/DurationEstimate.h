#pragma once

#include <chrono>
#include <cstddef>

namespace Guavalock
{

/// Streaming estimates of call duration: an exponentially weighted mean, a low percentile and an upper bound.
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

    /// Returns a duration that few calls exceed: the mean plus four mean deviations, as TCP computes its retransmission timeout. Zero
    /// when nothing was observed.
    Duration upperBound() const;

private:
    std::size_t m_count = 0;
    double m_mean = 0; ///< Seconds.
    double m_deviation = 0; ///< Exponentially weighted mean of the absolute deviation from the mean, in seconds.
    double m_lowPercentile = 0; ///< Seconds.
};

} // namespace Guavalock

#include "Decisions/DurationEstimate.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double meanWeight = 0.1;
constexpr double deviationWeight = 0.25; ///< As in RFC 6298.
constexpr double initialDeviation = 0.5; ///< Deviation assumed after the first value, as a fraction of it. As in RFC 6298.
constexpr int upperBoundDeviations = 4; ///< As in RFC 6298.
constexpr double lowQuantile = 0.05;
constexpr double lowStep = 0.05; ///< Relative step of the percentile estimate.

DurationEstimate::Duration asDuration(double seconds)
{
    return std::chrono::duration_cast<DurationEstimate::Duration>(Seconds(seconds));
}

} // namespace

void DurationEstimate::observe(Duration value)
{
    const double seconds = Seconds(value).count();
    ++m_count;
    if (m_count == 1) {
        m_mean = seconds;
        m_deviation = initialDeviation * seconds;
        m_lowPercentile = seconds;
        return;
    }
    m_deviation += deviationWeight * (std::abs(seconds - m_mean) - m_deviation);
    m_mean += meanWeight * (seconds - m_mean);
    // Stochastic quantile estimation: a large step down for values below the estimate and a small step up for the others converge to
    // the quantile.
    m_lowPercentile *= seconds < m_lowPercentile ? 1.0 - lowStep * (1.0 - lowQuantile) : 1.0 + lowStep * lowQuantile;
    m_lowPercentile = std::min(m_lowPercentile, m_mean);
}

bool DurationEstimate::hasSamples() const
{
    return m_count > 0;
}

DurationEstimate::Duration DurationEstimate::mean() const
{
    return asDuration(m_mean);
}

DurationEstimate::Duration DurationEstimate::lowPercentile() const
{
    return asDuration(m_lowPercentile);
}

DurationEstimate::Duration DurationEstimate::upperBound() const
{
    return asDuration(m_mean + upperBoundDeviations * m_deviation);
}

} // namespace Guavalock

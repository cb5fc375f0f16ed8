#include "Decisions/DurationEstimate.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double meanWeight = 0.1;
constexpr double lowQuantile = 0.05;
constexpr double lowStep = 0.05; ///< Relative step of the quantile estimate.

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
        m_low = seconds;
        return;
    }
    m_mean += meanWeight * (seconds - m_mean);
    // Moves down by a large share of the step when below and up by a small one when above, so that it settles at the quantile.
    m_low *= seconds < m_low ? 1.0 - lowStep * (1.0 - lowQuantile) : 1.0 + lowStep * lowQuantile;
    m_low = std::min(m_low, m_mean);
}

bool DurationEstimate::known() const
{
    return m_count > 0;
}

DurationEstimate::Duration DurationEstimate::mean() const
{
    return asDuration(m_mean);
}

DurationEstimate::Duration DurationEstimate::low() const
{
    return asDuration(m_low);
}

} // namespace Guavalock

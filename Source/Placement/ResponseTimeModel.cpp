#include "Placement/ResponseTimeModel.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = ResponseTimeModel::Seconds;

/// Starting values: typical of targets with one accelerator. Responses replace them.
constexpr Seconds initialFixedTime{0.02};
constexpr Seconds initialTimePerToken{1.0 / 50'000}; ///< Replaced by what responses show within some dozens of them.
constexpr Seconds initialDuration{2};
constexpr double initialWeight = 10; ///< Observations that the starting values count for, at each end of the line.
constexpr double initialPrompt = 20'000; ///< Tokens at the far end of that line.
constexpr Seconds memoryTime{60}; ///< Time constant with which observations count less.
constexpr double maxDeviation = 20; ///< Factor by which the time per token may differ from its starting value.
constexpr double durationWeight = 0.02; ///< Weight of one request in the mean duration, which covers about 50 requests.

} // namespace

ResponseTimeModel::ResponseTimeModel()
    : m_duration(initialDuration)
{
    add(initialWeight, 0, initialFixedTime.count());
    add(initialWeight, initialPrompt, (initialFixedTime + initialPrompt * initialTimePerToken).count());
    fit();
}

void ResponseTimeModel::add(double weight, double tokens, double seconds)
{
    m_weight += weight;
    m_tokens += weight * tokens;
    m_seconds += weight * seconds;
    m_squares += weight * tokens * tokens;
    m_products += weight * tokens * seconds;
}

void ResponseTimeModel::fit()
{
    const double spread = m_weight * m_squares - m_tokens * m_tokens;
    if (spread <= 0) {
        return;
    }
    const double slope = (m_weight * m_products - m_tokens * m_seconds) / spread;
    const double initial = initialTimePerToken.count();
    m_timePerToken = Seconds(std::clamp(slope, initial / maxDeviation, initial * maxDeviation));
    m_fixedTime = Seconds(std::max((m_seconds - m_timePerToken.count() * m_tokens) / m_weight, 0.001));
}

void ResponseTimeModel::recordStart(double tokens, Seconds time, Clock::TimePoint now)
{
    if (m_updated != Clock::TimePoint{}) {
        const double decay = std::exp(-Seconds(now - m_updated) / memoryTime);
        for (double *it : {&m_weight, &m_tokens, &m_seconds, &m_squares, &m_products}) {
            *it *= decay;
        }
    }
    m_updated = now;
    add(1, tokens, time.count());
    fit();
}

void ResponseTimeModel::recordEnd(Seconds duration)
{
    m_duration += durationWeight * (duration - m_duration);
}

} // namespace Guavalock

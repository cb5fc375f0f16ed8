#pragma once

#include "Kernel/Clock.h"

#include <chrono>

namespace Guavalock
{

/// Learns how the time to the first token depends on the prompt tokens to be processed, and how long requests take in all.
///
/// Covers the targets of one service at their usual speed. Fits a line to the observations, which count less with age. Until there are
/// enough of them, the starting values prevail.
class ResponseTimeModel
{
public:
    using Seconds = std::chrono::duration<double>;

    ResponseTimeModel();

    /// Records the time to the first token of a request, divided by the target's slowness.
    void recordStart(double tokens, Seconds time, Clock::TimePoint now);

    /// Records the total duration of a request.
    void recordEnd(Seconds duration);

    /// Returns the expected time to the first token once the given number of tokens has to be processed.
    Seconds expected(double tokens) const
    {
        return m_fixedTime + tokens * m_timePerToken;
    }

    Seconds timePerToken() const
    {
        return m_timePerToken;
    }

    /// Returns the mean total duration of a request.
    Seconds duration() const
    {
        return m_duration;
    }

private:
    void add(double weight, double tokens, double seconds);
    void fit();

    double m_weight = 0;
    double m_tokens = 0;
    double m_seconds = 0;
    double m_squares = 0;
    double m_products = 0;
    Clock::TimePoint m_updated{};
    Seconds m_fixedTime{0};
    Seconds m_timePerToken{0};
    Seconds m_duration;
};

} // namespace Guavalock

#pragma once

#include "Decisions/RandomEngine.h"

#include <chrono>

namespace Guavalock
{

/// Exponential backoff with jitter, so that many daemons do not retry at the same moment.
class Backoff
{
public:
    using Milliseconds = std::chrono::milliseconds;

    Backoff(Milliseconds initial, Milliseconds maximum);

    /// Returns a random delay between half of the current step and the full step, then doubles the step up to the maximum.
    Milliseconds next(RandomEngine &random);

    void reset();

private:
    Milliseconds m_initial;
    Milliseconds m_maximum;
    Milliseconds m_step;
};

} // namespace Guavalock

#pragma once

#include "Decisions/RandomEngine.h"

#include <chrono>

namespace Guavalock
{

/// Growing waits between tries, with full jitter so that many daemons do not return at once.
class Backoff
{
public:
    using Milliseconds = std::chrono::milliseconds;

    Backoff(Milliseconds first, Milliseconds longest);

    /// Returns the next wait: between half of the present step and the whole of it. The step doubles up to the longest.
    Milliseconds next(RandomEngine &random);

    void reset();

private:
    Milliseconds m_first;
    Milliseconds m_longest;
    Milliseconds m_step;
};

} // namespace Guavalock

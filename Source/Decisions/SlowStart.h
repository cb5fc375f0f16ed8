#pragma once

#include <cstddef>

namespace Guavalock
{

/// Raises a concurrency limit from a floor to a ceiling; the limit doubles after as many successful calls as its current value.
class SlowStart
{
public:
    /// Resets the limit to the floor.
    void restart(std::size_t floor);

    void recordSuccess(std::size_t ceiling);

    std::size_t limit(std::size_t ceiling) const;

private:
    std::size_t m_limit = 0;
    std::size_t m_successes = 0;
};

} // namespace Guavalock

#pragma once

#include <cstddef>

namespace Guavalock
{

/// Raises a concurrency limit from a floor to a ceiling, doubling whenever as many calls as the limit have succeeded.
class SlowStart
{
public:
    /// Goes back to the floor.
    void restart(std::size_t floor);

    void succeeded(std::size_t ceiling);

    std::size_t limit(std::size_t ceiling) const;

private:
    std::size_t m_limit = 0;
    std::size_t m_successes = 0;
};

} // namespace Guavalock

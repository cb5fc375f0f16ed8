#include "Kernel/SystemClock.h"

namespace Guavalock
{

Clock::TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

Clock::WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace Guavalock

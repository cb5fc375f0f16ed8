#include "Kernel/SystemClock.h"

#include <ctime>

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

Clock::Duration SystemClock::suspended() const
{
    const auto read = [](clockid_t clock) {
        timespec it{};
        ::clock_gettime(clock, &it);
        return std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec);
    };
    return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

} // namespace Guavalock

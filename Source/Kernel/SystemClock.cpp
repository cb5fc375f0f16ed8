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
        timespec time{};
        ::clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    };
    return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"
#include "Settings/Endpoint.h"

#include <chrono>
#include <string>

namespace Guavalock
{

/// The right to have one call in progress at a target. Given back to the TargetTable when the call has ended.
struct Slot {
    std::string pool;
    std::string target;
    Endpoint address;
    std::string dialect;
    std::chrono::milliseconds connectTimeout{0};
    std::string incarnation; ///< Of the target when the slot was given.
    bool suspect = false;
    Clock::TimePoint given{};
};

} // namespace Guavalock

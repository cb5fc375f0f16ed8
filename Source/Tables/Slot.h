#pragma once

#include "Kernel/Clock.h"
#include "Settings/Endpoint.h"

#include <chrono>
#include <string>

namespace Guavalock
{

/// Permission for one call in progress at a target. Must be released to the TargetTable when the call has ended.
struct Slot {
    std::string pool;
    std::string target;
    Endpoint address;
    std::string dialect;
    std::chrono::milliseconds connectTimeout{0};
    std::string incarnation; ///< Of the target when the slot was acquired.
    bool suspect = false;
    Clock::TimePoint acquiredAt{};
};

} // namespace Guavalock

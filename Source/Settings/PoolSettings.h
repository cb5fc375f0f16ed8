#pragma once

#include "Settings/TargetSettings.h"

#include <chrono>
#include <string>
#include <vector>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Targets that can stand in for one another, and how they are called and chosen.
struct PoolSettings {
    std::string dialect;
    std::string policy = "predicted-finish";
    std::chrono::milliseconds connectTimeout{1'000};
    std::size_t queue = 1'000; ///< Stage calls that may wait for a slot in one daemon.
    std::vector<TargetSettings> targets;

    static const FieldTable<PoolSettings> &fields();
};

} // namespace Guavalock

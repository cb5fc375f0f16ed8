#pragma once

#include "Settings/TargetSettings.h"

#include <chrono>
#include <string>
#include <vector>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A pool of interchangeable targets, with their protocol dialect and routing policy.
struct PoolSettings {
    std::string dialect;
    std::string policy = "predicted-finish";
    std::chrono::milliseconds connectTimeout{1'000};
    std::size_t queue = 1'000; ///< Maximum number of stage calls that wait for a slot in one daemon.
    std::vector<TargetSettings> targets;

    static const FieldTable<PoolSettings> &fields();
};

} // namespace Guavalock

#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Targets of one pool in one data centre, named POOL-CENTRE-0, POOL-CENTRE-1 and so on.
struct ScenarioTargetGroup {
    std::string pool;
    std::string dataCentre;
    std::size_t count = 1;
    std::size_t slots = 8;
    std::size_t coldSlots = 1;
    std::size_t coldCalls = 0; ///< Calls that a target must answer after a start to become warm.
    std::chrono::milliseconds callTime{100}; ///< Duration of a single call on the fastest target.
    double slowestFactor = 1; ///< Call time of the last target relative to the first; the others are spaced evenly in between.

    static const FieldTable<ScenarioTargetGroup> &fields();
};

} // namespace Guavalock

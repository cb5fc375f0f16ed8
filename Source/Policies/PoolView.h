#pragma once

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// A pool's targets as seen by routing policies. Valid indexes are less than size().
class PoolView
{
public:
    virtual ~PoolView() = default;

    virtual std::size_t size() const = 0;

    /// Returns whether one more call may be sent to the target now.
    virtual bool hasCapacity(std::size_t index) const = 0;

    /// Returns the number of this daemon's calls in progress at the target.
    virtual std::size_t outstanding(std::size_t index) const = 0;

    /// Returns the predicted time until one more call is answered.
    virtual Clock::Duration predictedDuration(std::size_t index) const = 0;

    /// Returns whether the target is not warm yet or is still in slow start.
    virtual bool isWarmingUp(std::size_t index) const = 0;

    /// Returns a hash of the target's name, which is equal on all daemons.
    virtual std::uint64_t nameHash(std::size_t index) const = 0;
};

} // namespace Guavalock

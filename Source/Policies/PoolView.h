#pragma once

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// What a routing policy may ask of a pool's targets. Indexes run from zero to size, exclusive.
class PoolView
{
public:
    virtual ~PoolView() = default;

    virtual std::size_t size() const = 0;

    /// Returns whether the target may be given one more call now.
    virtual bool hasRoom(std::size_t index) const = 0;

    /// Returns this daemon's calls in progress at the target.
    virtual std::size_t outstanding(std::size_t index) const = 0;

    /// Returns the predicted time to finish one more call.
    virtual Clock::Duration predicted(std::size_t index) const = 0;

    /// Returns whether the target still has to answer calls before it takes its full load.
    virtual bool warming(std::size_t index) const = 0;

    /// Returns a hash of the target's name, the same on every daemon.
    virtual std::uint64_t identity(std::size_t index) const = 0;
};

} // namespace Guavalock

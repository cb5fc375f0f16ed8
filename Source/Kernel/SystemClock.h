#pragma once

#include "Kernel/Clock.h"

namespace Guavalock
{

/// The machine's own clocks.
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    Duration suspended() const override;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

namespace Guavalock
{

/// Clock that reads the system clocks.
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    Duration suspended() const override;
};

} // namespace Guavalock

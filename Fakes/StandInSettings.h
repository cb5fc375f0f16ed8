#pragma once

#include "FakeTargetSettings.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// The fakes run by one guavalock-standin process.
struct StandInSettings {
    std::size_t platformPort = 0; ///< Zero disables the fake platform.
    std::vector<FakeTargetSettings> targets;

    static const FieldTable<StandInSettings> &fields();
};

} // namespace Guavalock

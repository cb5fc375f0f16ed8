#pragma once

#include "FakeTargetSettings.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// The stand-ins that one process runs.
struct StandInSettings {
    std::size_t platformPort = 0; ///< Zero for no platform.
    std::vector<FakeTargetSettings> targets;

    static const FieldTable<StandInSettings> &fields();
};

} // namespace Guavalock

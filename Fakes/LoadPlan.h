#pragma once

#include "Settings/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Guavalock
{

/// What a load run sends. The pipelines are those of Utilities/Demo/configuration.yaml.
struct LoadPlan {
    std::vector<Endpoint> daemons; ///< Callers' addresses, which callers take in turn while healthy.
    std::size_t requests = 100;
    std::size_t connections = 8; ///< Requests in progress at once.
    double streamShare = 0.3;
    double bookingShare = 0.1;
    double closeShare = 0; ///< Callers that go away before their answer.
    std::chrono::milliseconds closeWithin{20}; ///< How long such a caller stays at most.
    std::size_t resends = 2; ///< Of a booking that was refused, to the next daemon.
    std::chrono::milliseconds deadline{8'000};
    std::uint64_t seed = 1;
};

} // namespace Guavalock

#pragma once

#include "Settings/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Guavalock
{

/// Parameters of a load run against the pipelines of Utilities/Demo/configuration.yaml.
struct LoadPlan {
    std::vector<Endpoint> daemons; ///< Caller-facing addresses, used round-robin while healthy.
    std::size_t requests = 100;
    std::size_t connections = 8; ///< Concurrent requests.
    double streamShare = 0.3;
    double bookingShare = 0.1;
    double disconnectShare = 0; ///< Share of the non-booking requests whose caller disconnects before the response.
    std::chrono::milliseconds maxDisconnectDelay{20}; ///< Longest time until such a caller disconnects.
    std::size_t resends = 2; ///< Times that a refused booking is sent again, to the next daemon.
    std::chrono::milliseconds deadline{8'000};
    std::uint64_t seed = 1;
};

} // namespace Guavalock

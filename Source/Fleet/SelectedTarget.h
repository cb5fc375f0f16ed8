#pragma once

#include "Settings/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Guavalock
{

/// A target selected for an attempt or a batch.
struct SelectedTarget {
    std::string id;
    Endpoint address;
    std::string dataCentre;
    std::string service;
    std::chrono::microseconds typicalLatency{0}; ///< Time to the first response byte; zero if unknown.
    std::chrono::milliseconds startTime{0}; ///< Identifies the target's incarnation.
    std::uint64_t attempt = 0; ///< Number of the attempt for which the target was selected; zero if it isn't observed.
};

} // namespace Guavalock

#pragma once

#include "Fleet/BatchTerms.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace Guavalock
{

/// A group of targets that can stand in for one another.
struct ServiceRecord {
    std::string name;
    std::chrono::milliseconds coldTime{0};
    double coldRate = 0; ///< Requests a second that a cold target bears; zero when cold targets bear their full load.
    std::size_t connectionLimit = 0; ///< Connections that a target accepts from all daemons together; zero when it is not stated.
    std::optional<BatchTerms> batch; ///< Set for services that run stages.
};

} // namespace Guavalock

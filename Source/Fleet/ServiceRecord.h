#pragma once

#include "Fleet/BatchParameters.h"
#include "Fleet/ModelCapacity.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace Guavalock
{

/// A group of interchangeable targets.
struct ServiceRecord {
    std::string name;
    std::chrono::milliseconds coldStartTime{0}; ///< How long a target counts as cold after a connection failure.
    double coldRequestRate = 0; ///< Requests per second that a cold target can sustain; zero if cold targets need no limit.
    std::size_t connectionLimit = 0; ///< Connections that a target accepts from all daemons together; zero if unlimited.
    std::optional<ModelCapacity> capacity; ///< Set for services that execute a model.
    std::optional<BatchParameters> batch; ///< Set for services that execute stages.
};

} // namespace Guavalock

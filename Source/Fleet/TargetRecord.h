#pragma once

#include "Settings/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Guavalock
{

/// What a target has told the platform of itself.
struct TargetRecord {
    std::string id; ///< Usually new with every start.
    std::string service;
    Endpoint address;
    std::string dataCentre;
    bool draining = false;
    std::chrono::milliseconds coldRemaining{0}; ///< When the record was written.
    std::chrono::milliseconds born{0}; ///< Time of day of its start, since 1970; tells two lives with one id apart.
};

} // namespace Guavalock

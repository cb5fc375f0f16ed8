#pragma once

#include "Settings/Endpoint.h"

#include <chrono>
#include <string>

namespace Guavalock
{

/// A target chosen for one attempt.
struct TargetPick {
    std::string id;
    Endpoint address;
    std::string dataCentre;
    std::string service;
    std::chrono::microseconds typicalLatency{0}; ///< To the first byte of an answer; zero when unknown.
};

} // namespace Guavalock

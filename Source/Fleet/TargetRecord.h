#pragma once

#include "Settings/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Guavalock
{

/// State that a target has published through the platform.
struct TargetRecord {
    std::string id; ///< Usually changes with every start of the target.
    std::string service;
    Endpoint address;
    std::string dataCentre;
    std::string version; ///< Of the software that the target runs; empty if not stated.
    double slots = 0; ///< Requests that the target processes concurrently; zero if not stated.
    bool draining = false;
    std::chrono::milliseconds coldRemaining{0}; ///< Remaining cold-start time when the record was written.
    std::chrono::milliseconds startTime{0}; ///< Start of the target, as Unix time; distinguishes two incarnations with the same id.
};

} // namespace Guavalock

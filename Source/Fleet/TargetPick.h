#pragma once

#include "Settings/Endpoint.h"

#include <string>

namespace Guavalock
{

/// A target chosen for one attempt.
struct TargetPick {
    std::string id;
    Endpoint address;
    std::string dataCentre;
    std::string service;
};

} // namespace Guavalock

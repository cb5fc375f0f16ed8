#pragma once

#include "Kernel/ResultCode.h"

#include <string>

namespace Guavalock
{

/// Why a function returned std::nullopt. Such functions report it through an output parameter.
struct Reason {
    ResultCode code = ResultCode::Ok;
    std::string text;
};

} // namespace Guavalock

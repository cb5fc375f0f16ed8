#pragma once

#include "Kernel/ResultCode.h"

#include <string>

namespace Guavalock
{

/// Why a function that returns std::optional returned nothing. Such functions fill in the last reason their caller passed.
struct Reason {
    ResultCode code = ResultCode::Ok;
    std::string text;
};

} // namespace Guavalock

#pragma once

#include "Kernel/ResultCode.h"

#include <cstddef>

namespace Guavalock
{

/// Decides whether a daemon takes on one more request.
class Admission
{
public:
    struct Facts {
        bool draining = false;
        std::size_t inProgress = 0;
        std::size_t limit = 0;
        std::size_t organisationInProgress = 0;
        std::size_t organisationLimit = 0;
    };

    /// Returns Ok, or why the request is refused.
    static ResultCode decide(const Facts &facts);
};

} // namespace Guavalock

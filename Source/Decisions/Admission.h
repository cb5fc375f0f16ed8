#pragma once

#include "Kernel/ResultCode.h"

#include <cstddef>

namespace Guavalock
{

/// Admission control: decides whether a daemon accepts one more request.
class Admission
{
public:
    struct Inputs {
        bool draining = false;
        std::size_t inProgress = 0;
        std::size_t limit = 0;
        std::size_t organisationInProgress = 0;
        std::size_t organisationLimit = 0;
    };

    /// Returns Ok, or the code with which the request is refused.
    static ResultCode decide(const Inputs &inputs);
};

} // namespace Guavalock

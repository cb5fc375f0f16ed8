#pragma once

#include "Fleet/LoadCount.h"
#include "Relay/HttpFields.h"

#include <optional>
#include <string>

namespace Guavalock
{

/// The head of a target's answer.
struct AnswerHead {
    unsigned status = 0;
    std::string requestId; ///< Of the request that it answers.
    bool isSigned = false; ///< Bears the target's signature.
    bool notRun = false; ///< The target states that it has not run the request.
    bool wrongTarget = false; ///< The address belongs to another target; the request has not run.
    bool inputsGone = false; ///< A stage result that the request names no longer exists; the request has not run.
    bool encoded = false; ///< The body is not the target's own bytes.
    std::optional<LoadCount> load;
    HttpFields headers; ///< Those that are passed on.

    bool success() const
    {
        return status >= 200 && status < 300;
    }
};

} // namespace Guavalock

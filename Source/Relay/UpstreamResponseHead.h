#pragma once

#include "Decisions/AvailabilityStatement.h"
#include "Fleet/TargetLoad.h"
#include "Relay/HttpFields.h"

#include <optional>
#include <string>

namespace Guavalock
{

/// Status, headers and protocol flags of a target's response.
struct UpstreamResponseHead {
    unsigned status = 0;
    std::string requestId; ///< Identifies the request that the target answers.
    bool isSigned = false; ///< Carries the target's signature header.
    bool notExecuted = false; ///< The target states that it did not execute the request.
    bool deniesExecution = false; ///< Clients take the status for a statement that the request was not executed, whoever sent it.
    bool wrongTarget = false; ///< The address now belongs to another target; the request was not executed.
    bool inputsMissing = false; ///< A stage result named by the request no longer exists; the request was not executed.
    bool hasContentEncoding = false; ///< The body has a Content-Encoding other than identity, so its bytes are not the target's own.
    std::string mediaType; ///< Type of the body, in lower case and without parameters; empty if absent.
    std::optional<TargetLoad> load;
    AvailabilityStatement availability;
    HttpFields headers; ///< End-to-end headers, forwarded to the client.

    bool isSuccess() const
    {
        return status >= 200 && status < 300;
    }
};

} // namespace Guavalock

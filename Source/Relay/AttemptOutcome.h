#pragma once

#include "Relay/UpstreamResponseHead.h"

#include <string>

namespace Guavalock
{

/// The result of sending a request to one target.
struct AttemptOutcome {
    enum class Result {
        Responded, ///< The response is complete and not yet sent to the client.
        Streamed, ///< The response was streamed to the client completely.
        ClientDisconnected, ///< The client disconnected while the response was sent.
        NotExecuted, ///< The target states that it did not execute the request.
        Unreachable, ///< No connection could be established; nothing was sent.
        InputsMissing, ///< The target did not execute the request because a stage result no longer exists.
        NoResponse, ///< No complete, valid response was received; the request may have been executed.
        TimedOut, ///< No first byte within the attempt's timeout; the request may have been executed.
        StreamInterrupted, ///< The connection was lost after part of the response was sent to the client.
        Cancelled, ///< The request was cancelled during the attempt; it may have been executed.
    };

    Result result = Result::NoResponse;
    UpstreamResponseHead head;
    std::string body;
};

} // namespace Guavalock

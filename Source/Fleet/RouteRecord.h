#pragma once

#include "Fleet/ExecutionSemantics.h"
#include "Fleet/HostName.h"
#include "Fleet/StageNode.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// Routing and execution rules for the requests of one host and path prefix.
struct RouteRecord {
    std::string name;
    HostName host;
    std::string prefix; ///< Begins and ends with a slash.
    ExecutionSemantics semantics = ExecutionSemantics::AtMostOnce;
    bool resumable = false;
    bool allowsAnonymous = false; ///< Accepts requests without an API key.
    bool promptAffinity = false; ///< Requests carry hashes of their prompt parts, which select a target that has them cached.
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latencyObjective{0}; ///< Latency objective, to the response or to the first event of a stream.
    std::chrono::milliseconds eventGapObjective{0}; ///< Maximum gap between two events of a stream.
    unsigned maxAttempts = 1;
    unsigned rank = 0; ///< Priority; zero is the highest.
    std::vector<std::pair<std::string, unsigned>> services; ///< Name and weight.
    std::vector<StageNode> stages;

    /// Returns whether requests may use idle connections. A target may close an idle connection while a request is being sent, which
    /// leaves its execution unknown, so requests that must not be retried get a new connection.
    bool reusesConnections() const
    {
        return semantics == ExecutionSemantics::Idempotent;
    }

    /// Returns whether a request may be sent again after a target may have executed it.
    bool retryable() const
    {
        return semantics == ExecutionSemantics::Idempotent || (semantics == ExecutionSemantics::Stream && resumable);
    }
};

} // namespace Guavalock

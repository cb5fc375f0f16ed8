#pragma once

#include "Fleet/RunRule.h"
#include "Fleet/StageNode.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// Where requests of one host and path prefix go, and under which terms.
struct RouteRecord {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RunRule rule = RunRule::AtMostOnce;
    bool resumable = false;
    bool open = false; ///< Takes requests without a key.
    bool promptAffinity = false; ///< Requests list the parts of their prompt.
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds objective{0}; ///< To the answer, or to the first event of a stream.
    std::chrono::milliseconds gapObjective{0}; ///< Longest pause between two events of a stream.
    unsigned maxAttempts = 1;
    unsigned rank = 0; ///< Zero is the most urgent.
    std::vector<std::pair<std::string, unsigned>> services; ///< Name and weight.
    std::vector<StageNode> stages;

    /// Returns whether requests may take idle connections: a target may close one while a request is on its way, so what may not be
    /// repeated gets a new one.
    bool reusesConnections() const
    {
        return rule == RunRule::Idempotent;
    }

    bool repeatable() const
    {
        return rule == RunRule::Idempotent || (rule == RunRule::Stream && resumable);
    }
};

} // namespace Guavalock

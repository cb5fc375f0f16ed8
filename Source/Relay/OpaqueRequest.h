#pragma once

#include "Kernel/Clock.h"
#include "Relay/HttpFields.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// A caller's request whose method, path and body pass through unread, with what its headers say to the system.
struct OpaqueRequest {
    std::string id; ///< One for each try of the caller.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    HttpFields headers; ///< Those that are passed on.
    std::string body;
    std::string key; ///< Of the organisation; empty when none was sent.
    std::optional<std::chrono::milliseconds> deadline; ///< From its arrival.
    std::uint64_t sharedPrompt = 0; ///< Hash of the last prompt part that other requests may share; zero without one.
    std::size_t sharedTokens = 0; ///< Of the prompt parts that other requests may share.
    std::size_t promptTokens = 0;
    std::vector<std::size_t> pieceCounts; ///< For each stage of the route; zero leaves the stage out.
    std::string pieceKey; ///< What pieces without inputs are made from.
    std::string lastEventId; ///< The last event of a stream that the caller has, from an earlier try.
    Clock::TimePoint arrived;

    /// Returns the path without the query.
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
};

} // namespace Guavalock

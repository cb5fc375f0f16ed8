#pragma once

#include "Fleet/HostName.h"
#include "Kernel/Clock.h"
#include "Relay/HttpFields.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// A client request whose method, path and body are forwarded unchanged, with the protocol headers decoded.
struct OpaqueRequest {
    std::string id; ///< Unique for each attempt of the client.
    std::string method;
    std::string requestTarget; ///< HTTP request target: path and query.
    HostName host;
    HttpFields headers; ///< End-to-end headers, forwarded to the target.
    std::string body;
    std::string apiKey; ///< Identifies the organisation; empty if the header is absent.
    std::optional<std::chrono::milliseconds> deadline; ///< Relative to the time of receipt.
    std::vector<std::uint64_t> sharedPromptParts; ///< Hashes of the prompt parts that other requests may share.
    std::vector<std::size_t> sharedPartTokens; ///< Token counts of these parts.
    std::uint64_t sharedPromptHash = 0; ///< Hash of the last prompt part that other requests may share; zero if there is none.
    std::size_t sharedPromptTokens = 0; ///< Token count of the prompt parts that other requests may share.
    std::size_t promptTokens = 0;
    std::size_t outputTokens = 0; ///< The maximum that the request states; zero if it states none.
    std::vector<std::size_t> pieceCounts; ///< Number of pieces for each stage of the route; zero skips the stage.
    std::string pieceKey; ///< Input key for pieces that have no stage results as input.
    std::string lastEventId; ///< Last stream event that the client received in an earlier attempt.
    Clock::TimePoint receivedAt;

    /// Returns whether the response ends with its head.
    bool isHead() const
    {
        return method == "HEAD";
    }

    /// Returns the request target without the query.
    std::string path() const
    {
        return requestTarget.substr(0, requestTarget.find('?'));
    }
};

} // namespace Guavalock

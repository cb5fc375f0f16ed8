#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace Guavalock
{

/// Selection criteria of a request for a target.
struct TargetRequirements {
    std::string service;
    std::uint64_t affinity = 0; ///< Hash of the prompt parts that targets may have cached; zero if the request has none.
    std::size_t promptTokens = 0;
    std::string dataCentre; ///< Preferred data centre, where execution is cheapest; empty for no preference.
    std::set<std::string> triedTargets; ///< Targets already tried, used only if no other is available.
    std::string placedTarget; ///< Target that the placement owner has selected; if set, no other target is selected.
    std::string requestId;
    std::string route;
    bool isRepetition = false; ///< Whether the request has been sent to a target before.
    unsigned rank = 0; ///< Where targets limit their requests, those with a lower rank come first.
};

} // namespace Guavalock

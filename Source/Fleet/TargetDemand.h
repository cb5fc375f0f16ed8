#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace Guavalock
{

/// What a request asks of a target.
struct TargetDemand {
    std::string service;
    std::uint64_t affinity = 0; ///< Hash of what targets may hold of the request already; zero when nothing is shared.
    std::size_t promptTokens = 0;
    std::string dataCentre; ///< Where it is cheapest to run; empty when anywhere.
    std::set<std::string> avoid; ///< Targets already tried.
};

} // namespace Guavalock

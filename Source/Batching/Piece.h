#pragma once

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// A part of a request's stage that one target makes in one call, together with others.
struct Piece {
    std::uint64_t number = 0; ///< Given by the daemon that asks for it, unique there.
    std::string requestId;
    std::size_t stage = 0;
    std::size_t fragment = 0; ///< Position in the stage.
    std::string service;
    std::string key; ///< What it is made from when it has no inputs.
    std::vector<std::string> inputs; ///< Handles of the results that it takes.
    std::string nearDataCentre; ///< Where it is cheapest to make it; empty when anywhere.
    std::uint64_t nearBytes = 0; ///< That cross data centres when it is made elsewhere.
    std::uint64_t resultBytes = 0; ///< Approximate.
    bool refusable = false; ///< Nothing has been made for its request yet, so that refusing it wastes nothing.
    unsigned rank = 0; ///< Zero is the most urgent.
    Clock::TimePoint wantedBy; ///< A result after this time makes the request miss its objective.
    Clock::TimePoint deadline; ///< A result after this time is of no use.
};

} // namespace Guavalock

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// One stage in the stage graph of a route.
struct StageNode {
    std::string service;
    std::vector<std::size_t> dependencies; ///< Indexes of the stages whose results are its inputs.
    std::uint64_t resultBytes = 0; ///< Approximate size of one result.
};

} // namespace Guavalock

#pragma once

#include <cstddef>

namespace Guavalock
{

/// Capacity of each target of a service that executes a model.
struct ModelCapacity {
    std::size_t slots = 0; ///< Requests that a target processes concurrently.
    std::size_t tokens = 0; ///< Prompt and output tokens that fit into a target's memory.

    bool operator==(const ModelCapacity &) const = default;
};

} // namespace Guavalock

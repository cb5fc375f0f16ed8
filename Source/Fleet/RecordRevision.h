#pragma once

#include <cstdint>
#include <utility>

namespace Guavalock
{

/// Orders the values that a key has had by what its writer says in them, whatever the store's offsets are.
struct RecordRevision {
    std::uint64_t generation = 0; ///< Of the writer, such as the start of a target.
    std::uint64_t number = 0; ///< Rises with each change within a generation.

    bool isAfter(const RecordRevision &other) const
    {
        return std::pair(generation, number) > std::pair(other.generation, other.number);
    }
};

} // namespace Guavalock

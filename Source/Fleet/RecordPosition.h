#pragma once

#include <cstdint>
#include <utility>

namespace Guavalock
{

/// Where a record stands in the history of its topic. When the store comes back from a copy, it gives out offsets again in a higher era.
struct RecordPosition {
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    bool operator==(const RecordPosition &) const = default;

    bool isAfter(const RecordPosition &other) const
    {
        return std::pair(era, offset) > std::pair(other.era, other.offset);
    }
};

} // namespace Guavalock

#pragma once

#include <compare>
#include <cstdint>

namespace Guavalock
{

/// Where a record stands in the history of its topic. When the store comes back from a copy, it gives out offsets again in a higher era.
struct RecordPosition {
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const RecordPosition &) const = default;
};

} // namespace Guavalock

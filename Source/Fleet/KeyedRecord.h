#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// The newest record of one key. The store's offsets order all records of a topic.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< Empty when the key was dropped.
    std::uint64_t offset = 0;
};

} // namespace Guavalock

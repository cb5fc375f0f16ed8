#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// The latest record of a key. Offsets are assigned by the store and order all records of a topic.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< Empty if the key was deleted.
    std::uint64_t offset = 0;
};

} // namespace Guavalock

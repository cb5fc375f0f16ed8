#pragma once

#include "Fleet/RecordPosition.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// The latest record of a key. Eras and offsets are assigned by the store and order all records of a topic.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< Empty if the key was deleted.
    std::uint64_t offset = 0;
    std::uint64_t era = 0;

    RecordPosition position() const
    {
        return {era, offset};
    }
};

} // namespace Guavalock

#pragma once

#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// A part of a prompt that other requests may share.
struct PromptPart {
    std::uint64_t hash = 0;
    std::size_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

} // namespace Guavalock

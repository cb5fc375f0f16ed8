#pragma once

#include <cstdint>

namespace Guavalock
{

/// Hashes of request content. The lowest bit tells whole requests from parts of prompts.
class ContentHash
{
public:
    static constexpr std::uint64_t ofPart(std::uint64_t hash)
    {
        return hash & ~std::uint64_t{1};
    }

    static constexpr std::uint64_t ofRequest(std::uint64_t hash)
    {
        return hash | std::uint64_t{1};
    }

    static constexpr bool isRequest(std::uint64_t content)
    {
        return (content & 1U) != 0;
    }
};

} // namespace Guavalock

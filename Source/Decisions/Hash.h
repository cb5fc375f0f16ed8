#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Guavalock
{

/// The 64-bit xxHash of text; the same on every machine.
class Hash
{
public:
    static std::uint64_t of(std::string_view text, std::uint64_t seed = 0);

    /// Returns a hash as 16 hexadecimal digits.
    static std::string hex(std::uint64_t value);
};

} // namespace Guavalock

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Guavalock
{

/// The 64-bit XXH3 hash of a text. Does not depend on the machine, so daemons can compare hashes.
class Hash
{
public:
    static std::uint64_t of(std::string_view text, std::uint64_t seed = 0);

    /// Returns a hash as 16 hexadecimal digits.
    static std::string hex(std::uint64_t value);
};

} // namespace Guavalock

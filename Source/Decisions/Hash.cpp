#include "Decisions/Hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace Guavalock
{

std::uint64_t Hash::of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string Hash::hex(std::uint64_t value)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return buf.data();
}

} // namespace Guavalock

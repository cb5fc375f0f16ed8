#include "Fleet/SenderRank.h"

#include "Decisions/Hash.h"

#include <algorithm>

namespace Guavalock
{

std::size_t SenderRank::of(const std::string &vm, const std::string &target, const std::vector<std::string> &members)
{
    const std::uint64_t seed = Hash::of(target);
    const std::uint64_t ownHash = Hash::of(vm, seed);
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const std::string &it) { return Hash::of(it, seed) > ownHash; }));
}

} // namespace Guavalock

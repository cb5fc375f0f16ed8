#include "Fleet/ColdSenders.h"

#include "Decisions/Hash.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

std::size_t ColdSenders::share(const std::string &target, double rate, const std::string &vm, const std::vector<std::string> &members)
{
    const auto whole = static_cast<std::size_t>(std::floor(rate));
    const std::size_t senders = std::min({most, whole, members.size()});
    if (senders == 0) {
        return 0;
    }
    const std::uint64_t own = Hash::of(vm, Hash::of(target));
    const auto ahead = std::ranges::count_if(members, [&](const std::string &it) { return Hash::of(it, Hash::of(target)) > own; });
    return static_cast<std::size_t>(ahead) < senders ? whole / senders : 0;
}

} // namespace Guavalock

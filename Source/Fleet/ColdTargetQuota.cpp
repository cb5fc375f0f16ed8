#include "Fleet/ColdTargetQuota.h"

#include "Decisions/Hash.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

std::size_t ColdTargetQuota::requestsPerSecond(const std::string &target, double rate, const std::string &vm,
                                               const std::vector<std::string> &members)
{
    const auto wholeRate = static_cast<std::size_t>(std::floor(rate));
    const std::size_t senders = std::min({maxSenders, wholeRate, members.size()});
    if (senders == 0) {
        return 0;
    }
    const std::uint64_t seed = Hash::of(target);
    const std::uint64_t ownHash = Hash::of(vm, seed);
    const auto higherRanked = std::ranges::count_if(members, [&](const std::string &it) { return Hash::of(it, seed) > ownHash; });
    return static_cast<std::size_t>(higherRanked) < senders ? wholeRate / senders : 0;
}

} // namespace Guavalock

#include "Fleet/ColdTargetQuota.h"

#include "Fleet/SenderRank.h"

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
    return SenderRank::of(vm, target, members) < senders ? wholeRate / senders : 0;
}

} // namespace Guavalock

#include "Decisions/ColdShare.h"

#include "Decisions/Hash.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

std::vector<std::string> rankDaemons(const std::string &target, std::vector<std::string> daemons)
{
    std::ranges::sort(daemons, std::ranges::greater(), [&](const std::string &it) { return std::pair(Hash::of(target + '\n' + it), it); });
    return daemons;
}

} // namespace

std::size_t ColdShare::of(const std::string &target, std::size_t slots, const std::string &daemon, const std::vector<std::string> &daemons)
{
    const std::size_t count = daemons.size();
    const std::size_t base = slots / count;
    const std::size_t remainder = slots % count;
    if (remainder == 0) {
        return base;
    }
    const std::vector<std::string> order = rankDaemons(target, daemons);
    const auto rank = static_cast<std::size_t>(std::ranges::find(order, daemon) - order.begin());
    return base + (rank < remainder ? 1 : 0);
}

} // namespace Guavalock

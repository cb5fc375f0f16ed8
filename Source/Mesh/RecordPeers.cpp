#include "Mesh/RecordPeers.h"

#include <algorithm>

namespace Guavalock
{

std::vector<std::string> RecordPeers::choose(std::vector<Candidate> linked, const std::string &dataCentre, RandomEngine &random)
{
    constexpr std::size_t fanOut = 2; // A single daemon may lack the records as well.
    std::ranges::shuffle(linked, random);
    std::ranges::stable_sort(linked, std::ranges::greater(), &Candidate::isResponsive);
    if (linked.size() > fanOut) {
        // The second is the first one on the other side of the border of the data centre, if that is responsive.
        const auto isLocal = [&](const Candidate &it) {
            return it.dataCentre == dataCentre;
        };
        const auto other = std::find_if(linked.begin() + 1, linked.end(), [&](const Candidate &it) {
            return isLocal(it) != isLocal(linked.front()) && it.isResponsive == linked.front().isResponsive;
        });
        if (other != linked.end()) {
            std::iter_swap(linked.begin() + 1, other);
        }
        linked.resize(fanOut);
    }
    std::vector<std::string> names;
    std::ranges::transform(linked, std::back_inserter(names), &Candidate::vm);
    return names;
}

} // namespace Guavalock

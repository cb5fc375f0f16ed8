#include "Decisions/Hash.h"
#include "Fleet/TargetChooser.h"
#include "Kernel/Registration.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Guavalock
{

namespace
{

constexpr double loadSpread = 1.5; ///< A target counts as overloaded above this multiple of the mean load.
constexpr double loadSlack = 3.0; ///< Additional requests allowed above that multiple, which preserves affinity at low load.
constexpr double healthThreshold = 0.7; ///< Recent success ratio below which a target counts as failing.

/// Selects the same target for requests that share prompt parts, unless it is overloaded or failing.
///
/// Targets are ranked by a hash of affinity and target id (rendezvous hashing), so that all daemons agree without communication.
class PromptAffinityChooser : public TargetChooser
{
public:
    std::size_t choose(const std::vector<Candidate> &candidates, std::uint64_t affinity, RandomEngine &random) const override
    {
        std::vector<std::size_t> order(candidates.size());
        std::iota(order.begin(), order.end(), 0);
        const std::uint64_t seed = affinity != 0 ? affinity : random();
        std::vector<std::uint64_t> hashes;
        hashes.reserve(candidates.size());
        double sum = 0;
        for (const Candidate &it : candidates) {
            hashes.push_back(Hash::of(it.id, seed));
            sum += it.load;
        }
        const double limit = loadSpread * sum / static_cast<double>(candidates.size()) + loadSlack;
        const auto rank = [&](std::size_t it) {
            const Candidate &c = candidates[it];
            const int tier = (c.load > limit || c.health < healthThreshold ? 2 : 0) + (c.near ? 0 : 1);
            return std::pair(tier, ~hashes[it]);
        };
        return *std::ranges::min_element(order, {}, rank);
    }
};

const Registration<TargetChooser, PromptAffinityChooser> registration("prompt-affinity",
                                                                      "The target most likely to have the shared prompt parts cached");

} // namespace

} // namespace Guavalock

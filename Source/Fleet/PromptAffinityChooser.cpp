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

constexpr double loadSpread = 1.5; ///< A target may have this many times the mean load before another is taken.
constexpr double loadSlack = 3.0; ///< Requests above that; keeps affinity at low load.
constexpr double goodHealth = 0.7; ///< Recent share of good attempts below which a target is passed over.

/// Takes the same target for requests that share prompt parts, unless it is overloaded or failing.
///
/// Targets are ranked by a hash of affinity and target, so that all daemons agree without a word.
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
            const int tier = (c.load > limit || c.health < goodHealth ? 2 : 0) + (c.near ? 0 : 1);
            return std::pair(tier, ~hashes[it]);
        };
        return *std::ranges::min_element(order, {}, rank);
    }
};

const Registration<TargetChooser, PromptAffinityChooser> registration("prompt-affinity", "The target that holds the prompt's shared parts");

} // namespace

} // namespace Guavalock

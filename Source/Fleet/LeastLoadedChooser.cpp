#include "Fleet/TargetChooser.h"
#include "Kernel/Registration.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr double minHealth = 0.05; ///< Lower bound, so that the cost of a failing target stays finite.
constexpr double minLatency = 0.005; ///< Seconds; lower bound, also used for a target without measured latency.
/// Cost factor of a target in another data centre. Small, because the round trip is short: it only breaks near-ties.
constexpr double remotePenalty = 1.02;

/// Selects the target with the lowest expected time to a successful response. Ties are broken at random.
class LeastLoadedChooser : public TargetChooser
{
public:
    std::size_t choose(const std::vector<Candidate> &candidates, std::uint64_t, RandomEngine &random) const override
    {
        std::vector<double> costs;
        costs.reserve(candidates.size());
        for (const Candidate &it : candidates) {
            const double health = std::max(it.health, minHealth);
            const double time = std::max(it.latency, minLatency);
            costs.push_back((it.load + 1) * time * (it.near ? 1 : remotePenalty) / (health * health));
        }
        const double least = *std::ranges::min_element(costs);
        std::vector<std::size_t> best;
        for (std::size_t it = 0; it < costs.size(); ++it) {
            if (costs[it] <= least) {
                best.push_back(it);
            }
        }
        return best[random() % best.size()];
    }
};

const Registration<TargetChooser, LeastLoadedChooser> registration("least-loaded", "The lowest expected time to a successful response");

} // namespace

} // namespace Guavalock

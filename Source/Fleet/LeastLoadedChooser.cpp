#include "Fleet/TargetChooser.h"
#include "Kernel/Registration.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr double leastHealth = 0.05; ///< Keeps a failing target from looking infinitely loaded.
constexpr double leastLatency = 0.005; ///< Seconds; taken for a target that has not answered yet.
constexpr double farPenalty = 1.02; ///< Breaks ties between data centres; a round trip between them is short.

/// Takes the target with the least expected time to a good answer.
class LeastLoadedChooser : public TargetChooser
{
public:
    std::size_t choose(const std::vector<Candidate> &candidates, std::uint64_t, RandomEngine &random) const override
    {
        std::vector<double> costs;
        costs.reserve(candidates.size());
        for (const Candidate &it : candidates) {
            const double health = std::max(it.health, leastHealth);
            const double time = std::max(it.latency, leastLatency);
            costs.push_back((it.load + 1) * time * (it.near ? 1 : farPenalty) / (health * health));
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

const Registration<TargetChooser, LeastLoadedChooser> registration("least-loaded", "The least expected time to a good answer");

} // namespace

} // namespace Guavalock

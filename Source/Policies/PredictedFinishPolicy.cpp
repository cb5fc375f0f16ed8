#include "Decisions/StageRequirements.h"
#include "Kernel/Registration.h"
#include "Policies/Candidates.h"
#include "Policies/PoolView.h"
#include "Policies/RoutingPolicy.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::size_t sampleSize = 24;

constexpr double warmUpShare = 0.25; ///< Fraction of calls sent to targets that are warming up, if any has capacity.

/// Chooses the target with the shortest predicted time from a random sample. A fraction of the calls goes to targets that are warming
/// up, which would otherwise stay unused until the faster ones fail.
class PredictedFinishPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const PoolView &pool, const StageRequirements &, RandomEngine &random) override
    {
        std::vector<std::size_t> candidates = Candidates::sample(pool, sampleSize, random);
        if (std::bernoulli_distribution(warmUpShare)(random)) {
            retainWarmingUp(pool, candidates);
        }
        const auto best = std::ranges::min_element(candidates, {}, [&](std::size_t it) { return pool.predictedDuration(it); });
        if (best == candidates.end()) {
            return std::nullopt;
        }
        return *best;
    }

private:
    static void retainWarmingUp(const PoolView &pool, std::vector<std::size_t> &candidates)
    {
        const auto isWarmingUp = [&](std::size_t it) {
            return pool.isWarmingUp(it);
        };
        if (std::ranges::any_of(candidates, isWarmingUp)) {
            std::erase_if(candidates, [&](std::size_t it) { return !pool.isWarmingUp(it); });
        }
    }
};

const Registration<RoutingPolicy, PredictedFinishPolicy> registration("predicted-finish", "the target predicted to finish first");

} // namespace

} // namespace Guavalock

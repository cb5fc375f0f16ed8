#include "Decisions/StageDemand.h"
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

constexpr double warmingShare = 0.25; ///< Of the calls, while targets that have to be warmed have room.

/// Takes the sampled target that is predicted to finish first. A share of the calls goes to targets that are not yet at their full
/// load, which would otherwise stay unused until the faster ones fail.
class PredictedFinishPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const PoolView &pool, const StageDemand &, RandomEngine &random) override
    {
        std::vector<std::size_t> drawn = Candidates::draw(pool, sampleSize, random);
        if (std::bernoulli_distribution(warmingShare)(random)) {
            keepWarming(pool, drawn);
        }
        const auto best = std::ranges::min_element(drawn, {}, [&](std::size_t it) { return pool.predicted(it); });
        if (best == drawn.end()) {
            return std::nullopt;
        }
        return *best;
    }

private:
    static void keepWarming(const PoolView &pool, std::vector<std::size_t> &drawn)
    {
        const auto warming = [&](std::size_t it) {
            return pool.warming(it);
        };
        if (std::ranges::any_of(drawn, warming)) {
            std::erase_if(drawn, [&](std::size_t it) { return !pool.warming(it); });
        }
    }
};

const Registration<RoutingPolicy, PredictedFinishPolicy> registration("predicted-finish", "the target predicted to finish first");

} // namespace

} // namespace Guavalock

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

/// Takes the sampled target that is predicted to finish first.
class PredictedFinishPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const PoolView &pool, const StageDemand &, RandomEngine &random) override
    {
        const std::vector<std::size_t> drawn = Candidates::draw(pool, sampleSize, random);
        const auto best = std::ranges::min_element(drawn, {}, [&](std::size_t it) { return pool.predicted(it); });
        if (best == drawn.end()) {
            return std::nullopt;
        }
        return *best;
    }
};

const Registration<RoutingPolicy, PredictedFinishPolicy> registration("predicted-finish", "the target predicted to finish first");

} // namespace

} // namespace Guavalock

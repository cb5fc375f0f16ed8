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

/// Least outstanding requests: chooses the target with the fewest of this daemon's calls in progress, and among equals the first from
/// a random start.
class LeastOutstandingPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const PoolView &pool, const StageRequirements &, RandomEngine &random) override
    {
        const std::vector<std::size_t> candidates = Candidates::sample(pool, pool.size(), random);
        const auto best = std::ranges::min_element(candidates, {}, [&](std::size_t it) { return pool.outstanding(it); });
        if (best == candidates.end()) {
            return std::nullopt;
        }
        return *best;
    }
};

const Registration<RoutingPolicy, LeastOutstandingPolicy> registration("least-outstanding", "the target with the fewest calls in progress");

} // namespace

} // namespace Guavalock

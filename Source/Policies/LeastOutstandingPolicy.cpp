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

/// Takes the target with the fewest of this daemon's calls in progress; a random one among equals.
class LeastOutstandingPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const PoolView &pool, const StageDemand &, RandomEngine &random) override
    {
        const std::vector<std::size_t> drawn = Candidates::draw(pool, pool.size(), random);
        const auto best = std::ranges::min_element(drawn, {}, [&](std::size_t it) { return pool.outstanding(it); });
        if (best == drawn.end()) {
            return std::nullopt;
        }
        return *best;
    }
};

const Registration<RoutingPolicy, LeastOutstandingPolicy> registration("least-outstanding", "the target with the fewest calls in progress");

} // namespace

} // namespace Guavalock

#include "Decisions/StageRequirements.h"
#include "Kernel/Registration.h"
#include "Policies/Candidates.h"
#include "Policies/PoolView.h"
#include "Policies/RoutingPolicy.h"

namespace Guavalock
{

namespace
{

/// Power of two choices: of two random targets, chooses the one with fewer of this daemon's calls in progress.
class TwoChoicesPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const PoolView &pool, const StageRequirements &, RandomEngine &random) override
    {
        const std::vector<std::size_t> first = Candidates::sample(pool, 1, random);
        if (first.empty()) {
            return std::nullopt;
        }
        const std::size_t second = Candidates::sample(pool, 1, random).front();
        return pool.outstanding(second) < pool.outstanding(first.front()) ? second : first.front();
    }
};

const Registration<RoutingPolicy, TwoChoicesPolicy> registration("two-choices", "the less loaded of two random targets");

} // namespace

} // namespace Guavalock

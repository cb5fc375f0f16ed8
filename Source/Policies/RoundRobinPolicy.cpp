#include "Decisions/StageRequirements.h"
#include "Kernel/Registration.h"
#include "Policies/PoolView.h"
#include "Policies/RoutingPolicy.h"

namespace Guavalock
{

namespace
{

/// Round robin: uses the targets in turn and skips those without free capacity.
class RoundRobinPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const PoolView &pool, const StageRequirements &, RandomEngine &) override
    {
        const std::size_t n = pool.size();
        for (std::size_t it = 0; it < n; ++it) {
            const std::size_t index = (m_next + it) % n;
            if (pool.hasCapacity(index)) {
                m_next = index + 1;
                return index;
            }
        }
        return std::nullopt;
    }

private:
    std::size_t m_next = 0;
};

const Registration<RoutingPolicy, RoundRobinPolicy> registration("round-robin", "each target in turn");

} // namespace

} // namespace Guavalock

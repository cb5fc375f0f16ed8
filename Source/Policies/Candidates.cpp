#include "Policies/Candidates.h"

#include "Policies/PoolView.h"

namespace Guavalock
{

std::vector<std::size_t> Candidates::sample(const PoolView &pool, std::size_t wanted, RandomEngine &random)
{
    std::vector<std::size_t> found;
    const std::size_t n = pool.size();
    if (n == 0) {
        return found;
    }
    // Starts at a random index, so that calls spread over the pool, and visits each target at most once.
    const std::size_t start = std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    for (std::size_t it = 0; it < n && found.size() < wanted; ++it) {
        const std::size_t index = (start + it) % n;
        if (pool.hasCapacity(index)) {
            found.push_back(index);
        }
    }
    return found;
}

} // namespace Guavalock

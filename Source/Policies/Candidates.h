#pragma once

#include "Decisions/RandomEngine.h"

#include <cstddef>
#include <vector>

namespace Guavalock
{

class PoolView;

/// Selects targets with free capacity from a pool.
class Candidates
{
public:
    /// Returns up to the wanted number of distinct targets with free capacity, in the order of the pool from a random start.
    ///
    /// Stops once enough are found, and looks at the whole pool only when too few targets have free capacity.
    static std::vector<std::size_t> sample(const PoolView &pool, std::size_t wanted, RandomEngine &random);
};

} // namespace Guavalock

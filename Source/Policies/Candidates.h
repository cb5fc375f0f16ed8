#pragma once

#include "Decisions/RandomEngine.h"

#include <cstddef>
#include <vector>

namespace Guavalock
{

class PoolView;

/// Draws targets with room from a pool.
class Candidates
{
public:
    /// Returns up to wanted distinct targets that have room, in random order.
    ///
    /// Looks at no more than a few times wanted in a large pool, unless those are all full; then it looks at all.
    static std::vector<std::size_t> draw(const PoolView &pool, std::size_t wanted, RandomEngine &random);
};

} // namespace Guavalock

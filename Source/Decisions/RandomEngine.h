#pragma once

#include <random>

namespace Guavalock
{

/// The random number generator that callers pass to decisions, so that tests can seed it.
using RandomEngine = std::mt19937_64;

} // namespace Guavalock

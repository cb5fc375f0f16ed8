#pragma once

#include <random>

namespace Guavalock
{

/// The generator that decisions take from their caller, so that tests can seed it.
using RandomEngine = std::mt19937_64;

} // namespace Guavalock

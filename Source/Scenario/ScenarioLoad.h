#pragma once

#include <chrono>
#include <cstddef>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Random request arrivals, each at a random running daemon.
struct ScenarioLoad {
    double rate = 10; ///< Requests per second.
    std::size_t organisations = 5; ///< Number of organisations; the first sends as many requests as all others together.
    std::chrono::milliseconds deadline{2'000};
    std::size_t poisonEvery = 0; ///< Every n-th request crashes the targets that run it and is sent three times; 0 disables.

    static const FieldTable<ScenarioLoad> &fields();
};

} // namespace Guavalock

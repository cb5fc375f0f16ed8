#pragma once

#include "Kernel/RankedMutex.h"

#include <chrono>
#include <memory>

namespace Guavalock
{

/// Summary statistics of observed durations: count, sum, median, 95th and 99th percentile.
///
/// Quantiles are P-square estimates from Boost.Accumulators. Thread-safe; takes a lock of rank Metrics.
class Distribution
{
public:
    struct Summary {
        std::size_t count = 0;
        std::chrono::duration<double> sum{0};
        std::chrono::duration<double> median{0};
        std::chrono::duration<double> p95{0};
        std::chrono::duration<double> p99{0};
    };

    Distribution();
    ~Distribution();

    void observe(std::chrono::nanoseconds value);

    Summary summary() const;

private:
    struct Accumulators;

    mutable RankedMutex m_mutex{LockRank::Metrics};
    std::unique_ptr<Accumulators> m_accumulators;
};

} // namespace Guavalock

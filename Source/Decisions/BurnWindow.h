#pragma once

#include "Kernel/Clock.h"

#include <array>
#include <cstddef>

namespace Guavalock
{

/// Counts requests that met or missed their objective in a sliding time window, for error budget burn rates.
///
/// The window is a ring of fixed-length buckets.
class BurnWindow
{
public:
    static constexpr std::chrono::seconds bucketLength{10};
    static constexpr std::size_t bucketCount = 360; ///< One hour of buckets.

    struct Counts {
        std::size_t met = 0;
        std::size_t missed = 0;
    };

    void add(bool met, Clock::TimePoint now);

    /// Returns the counts for the period that ends now, rounded up to whole buckets. Periods longer than one hour are cut to an hour.
    Counts countsOver(std::chrono::seconds length, Clock::TimePoint now) const;

private:
    struct Bucket {
        std::int64_t number = -1; ///< Index of the bucket's interval since the clock's epoch; -1 when unused.
        Counts counts;
    };

    std::array<Bucket, bucketCount> m_buckets{};
};

} // namespace Guavalock

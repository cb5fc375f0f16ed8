#pragma once

#include "Kernel/Clock.h"

#include <array>
#include <cstddef>

namespace Guavalock
{

/// Counts answers on time and others over a sliding time, in buckets.
class BurnWindow
{
public:
    static constexpr std::chrono::seconds bucketLength{10};
    static constexpr std::size_t bucketCount = 360;

    struct Sum {
        std::size_t met = 0;
        std::size_t missed = 0;
    };

    void add(bool met, Clock::TimePoint now);

    /// Returns the counts over the given time up to now, at most an hour, rounded up to whole buckets.
    Sum over(std::chrono::seconds length, Clock::TimePoint now) const;

private:
    struct Bucket {
        std::int64_t number = -1; ///< Which stretch of time the bucket holds.
        Sum sum;
    };

    std::array<Bucket, bucketCount> m_buckets{};
};

} // namespace Guavalock

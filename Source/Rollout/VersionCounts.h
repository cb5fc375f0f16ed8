#pragma once

#include "Kernel/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// What has been seen of the attempts at one version of a service. All figures are cumulative except the attempts in progress.
struct VersionCounts {
    static constexpr std::size_t buckets = 16;
    static constexpr std::chrono::milliseconds firstBucket{4}; ///< Upper bound of the first bucket; that of each next one is twice as long.

    using Histogram = std::array<std::uint64_t, buckets>;

    std::uint64_t attempts = 0; ///< That ended with a response or a failure.
    std::uint64_t failures = 0; ///< Server errors, and lost, broken or missing responses.
    std::uint64_t crashes = 0; ///< Connections that the target didn't accept.
    Histogram times{}; ///< To the first byte of the response.
    /// Of attempts without a response that are in progress or were given up for the caller's sake: the time that they have taken so far. A
    /// slow version is noticed before its responses arrive.
    Histogram unfinished{};

    bool operator==(const VersionCounts &) const = default;

    VersionCounts &operator+=(const VersionCounts &other)
    {
        return combine(other, [](std::uint64_t left, std::uint64_t right) { return left + right; });
    }

    /// Subtracts an earlier state of the same counts. Attempts that were in progress then and have ended don't count as negative.
    VersionCounts &operator-=(const VersionCounts &other)
    {
        return combine(other, [](std::uint64_t left, std::uint64_t right) { return left > right ? left - right : 0; });
    }

    static std::size_t bucketOf(Clock::Duration time)
    {
        std::size_t it = 0;
        for (Clock::Duration bound = firstBucket; time >= bound && it + 1 < buckets; bound *= 2) {
            ++it;
        }
        return it;
    }

private:
    template <class Operation>
    VersionCounts &combine(const VersionCounts &other, Operation operation)
    {
        attempts = operation(attempts, other.attempts);
        failures = operation(failures, other.failures);
        crashes = operation(crashes, other.crashes);
        for (std::size_t it = 0; it < buckets; ++it) {
            times[it] = operation(times[it], other.times[it]);
            unfinished[it] = operation(unfinished[it], other.unfinished[it]);
        }
        return *this;
    }
};

} // namespace Guavalock

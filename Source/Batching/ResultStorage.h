#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace Guavalock
{

/// Estimates the result storage in use on one target, from the results that this daemon requested.
class ResultStorage
{
public:
    /// Returns the available part of the target's result storage, in bytes.
    std::uint64_t available(std::uint64_t capacity, Clock::TimePoint now);

    void add(const std::string &handle, std::uint64_t bytes, Clock::TimePoint expiry);
    void free(const std::string &handle);

    /// Records that the target ran out of storage that was estimated to be available: it holds results of other daemons, or results
    /// larger than estimated. The given bytes count as occupied until the given time, and so do bytes recorded
    /// earlier that still count as occupied.
    void addUntracked(std::uint64_t bytes, Clock::TimePoint now, Clock::TimePoint expiry);

private:
    struct StoredResult {
        std::uint64_t bytes = 0;
        Clock::TimePoint expiry;
    };

    std::map<std::string, StoredResult> m_results;
    std::uint64_t m_trackedBytes = 0;
    std::uint64_t m_untrackedBytes = 0; ///< Occupied by results that this daemon does not track, until m_untrackedExpiry.
    Clock::TimePoint m_untrackedExpiry;
};

} // namespace Guavalock

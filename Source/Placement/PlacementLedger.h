#pragma once

#include "Kernel/Clock.h"
#include "Placement/PlacementReport.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// The requests of this daemon that are at a target, so that a new owner can be told of them. Not thread-safe; reads no clock.
class PlacementLedger
{
public:
    /// Adds a request, or moves it to another target.
    void place(PlacementQuery query, std::string target, Clock::TimePoint now);

    /// Records that the target has begun to respond.
    void start(std::uint64_t number);

    /// Removes a request. Returns whether it was known.
    bool end(std::uint64_t number);

    /// Returns reports of the requests of a service, in which the timeouts are those that remain.
    std::vector<PlacementReport> reports(const std::string &service, Clock::TimePoint now) const;

private:
    struct Entry {
        PlacementReport report;
        Clock::TimePoint placedAt;
    };

    std::map<std::uint64_t, Entry> m_entries; ///< By number.
};

} // namespace Guavalock

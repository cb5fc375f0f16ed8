#pragma once

#include "Kernel/Clock.h"
#include "Placement/PlacementResult.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>

namespace Guavalock
{

/// Limits the rate of log lines about requests for which a daemon selects the target itself. Not thread-safe.
class FallbackLog
{
public:
    /// Returns the name of a source for logs and metrics.
    static std::string_view name(PlacementResult::Source source);

    /// Counts a fallback. Returns how many there were for the reason since its last line, if a line is due.
    std::optional<std::size_t> add(PlacementResult::Source reason, Clock::TimePoint now);

private:
    struct Entry {
        std::size_t count = 0;
        Clock::TimePoint next{};
    };

    std::map<PlacementResult::Source, Entry> m_entries;
};

} // namespace Guavalock

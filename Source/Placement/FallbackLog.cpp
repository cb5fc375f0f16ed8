#include "Placement/FallbackLog.h"

#include <array>
#include <utility>

namespace Guavalock
{

namespace
{

constexpr std::chrono::seconds lineInterval{5}; ///< For one reason.

} // namespace

std::string_view FallbackLog::name(PlacementResult::Source source)
{
    // In the order of PlacementResult::Source.
    static constexpr std::array<std::string_view, 7> names{"placed", "inactive", "no-owner", "timeout", "silent", "no-target", "rejected"};
    return names.at(static_cast<std::size_t>(source));
}

std::optional<std::size_t> FallbackLog::add(PlacementResult::Source reason, Clock::TimePoint now)
{
    Entry &entry = m_entries[reason];
    ++entry.count;
    if (now < entry.next) {
        return std::nullopt;
    }
    entry.next = now + lineInterval;
    return std::exchange(entry.count, 0);
}

} // namespace Guavalock

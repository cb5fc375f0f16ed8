#pragma once

#include "Kernel/Clock.h"
#include "Rollout/RolloutEvidence.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Guavalock
{

/// The evidence of all daemons about one order, as its coordinator knows it.
///
/// Counts are cumulative, so lost and repeated messages do no harm and a new coordinator knows all after one message of each daemon.
class EvidenceCollection
{
public:
    static constexpr std::chrono::seconds recentTime{2}; ///< A bad version shows enough in it; what was before says little of it.

    /// Figures of attempts in progress of a daemon that hasn't been heard for this long are not used. Daemons send each second.
    static constexpr std::chrono::seconds silenceTime{3};

    /// Applies a message unless a later one of the same incarnation is known.
    void add(const RolloutEvidence &evidence, Clock::TimePoint now);

    /// Keeps the present counts, for later calls of `recent`.
    void advance(Clock::TimePoint now);

    /// Returns the counts since the new version was first used.
    CountsByRoute period() const;

    /// Returns the counts of the last seconds.
    CountsByRoute recent() const;

    std::uint64_t inProgressNew(Clock::TimePoint now) const;
    std::uint64_t inProgressOther(Clock::TimePoint now) const;

    /// Returns how many daemons have been heard lately.
    std::size_t daemons(Clock::TimePoint now) const;

private:
    struct Source {
        RolloutEvidence evidence;
        Clock::TimePoint received;
    };

    CountsByRoute total() const;
    static CountsByRoute difference(CountsByRoute counts, const CountsByRoute &before);
    std::uint64_t inProgress(std::uint64_t RolloutEvidence::*field, Clock::TimePoint now) const;

    std::map<std::pair<std::string, std::string>, Source> m_sources; ///< By daemon and incarnation.
    std::deque<std::pair<Clock::TimePoint, CountsByRoute>> m_history; ///< Oldest first.
    std::optional<CountsByRoute> m_before; ///< The other versions' counts when the new one was first used.
};

} // namespace Guavalock

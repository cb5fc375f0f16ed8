#pragma once

#include "Fleet/ModelCapacity.h"
#include "Fleet/PlacementCandidate.h"
#include "Kernel/Clock.h"
#include "Placement/CachedParts.h"
#include "Placement/PlacementKey.h"
#include "Placement/PlacementQuery.h"
#include "Placement/PlacementReport.h"
#include "Placement/PlacementTotal.h"
#include "Placement/ResponseTimeModel.h"
#include "Placement/TargetWork.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Guavalock
{

/// Decides at which target of a model service each request is placed, and keeps the placements in progress.
///
/// Answers two loads: many daemons that each use a target so rarely that none knows its queue, and prompts whose shared parts are processed
/// again where they are not cached. A request goes where its first token is expected first, including the delay it causes for others. Not
/// thread-safe; reads no clock.
class PlacementTable
{
public:
    /// Tokens of shared prompt parts in the requests placed so far.
    struct PartStatistics {
        std::size_t cachedTokens = 0; ///< Expected to be cached.
        std::size_t processedTokens = 0; ///< Expected to be processed, for the first time or again.
    };

    explicit PlacementTable(ModelCapacity capacity);

    /// Returns whether a request fits into the memory of a target at all.
    static bool fits(const ModelCapacity &capacity, std::size_t promptTokens, std::size_t outputTokens);

    void setCapacity(ModelCapacity capacity);

    /// Sets the known targets. What is known of other targets is forgotten, as is the cache of a target that has restarted.
    void setTargets(const std::vector<PlacementCandidate> &candidates);

    /// Selects a target and records the placement. Returns nothing if no target can be used.
    std::optional<std::string> place(const std::string &origin, const PlacementQuery &query, Clock::TimePoint now);

    /// Applies the report of a daemon about one of its requests.
    void apply(const std::string &origin, const PlacementReport &report, Clock::TimePoint now);

    /// Replaces what another owner has placed, which counts for `remoteLifetime`, and considers the parts as cached.
    void setRemote(const std::string &owner, const std::vector<PlacementTotal> &totals, Clock::TimePoint now);

    /// Returns what has been placed at each target with placements in progress, and the parts placed since the last call.
    std::vector<PlacementTotal> takeTotals();

    /// Returns the daemons with placements in progress.
    std::set<std::string> origins() const;

    /// Drops the placements of a daemon that is no longer live.
    void dropOrigin(const std::string &origin);

    /// Drops placements whose end was not reported in time, and totals of owners that are silent.
    void expire(Clock::TimePoint now);

    std::size_t inProgress() const;
    const PartStatistics &partStatistics() const;

    static constexpr std::chrono::milliseconds remoteLifetime{1'000}; ///< Five intervals between totals.

private:
    struct Placement {
        std::size_t target = 0;
        std::size_t tokens = 0;
        std::size_t privateTokens = 0; ///< Those that are no shared part.
        std::size_t work = 0; ///< Prompt tokens that the target had to process.
        double tokensAhead = 0; ///< Including its own, weighted as for ResponseTimeModel.
        bool started = false;
        Clock::TimePoint deadline;
    };

    struct Remote {
        std::vector<PlacementTotal> totals;
        Clock::TimePoint received;
    };

    /// The expected consequences of a placement at one target.
    struct Estimate {
        double cost = 0; ///< Seconds until the first token, with the delay for others and penalties.
        double tokensAhead = 0;
        bool hasRoom = false;
    };

    using Handler = void (PlacementTable::*)(const PlacementKey &key, const PlacementReport &report, Clock::TimePoint now);

    void recordPlaced(const PlacementKey &key, const PlacementReport &report, Clock::TimePoint now);
    void recordStart(const PlacementKey &key, const PlacementReport &report, Clock::TimePoint now);
    void recordEnd(const PlacementKey &key, const PlacementReport &report, Clock::TimePoint now);

    Estimate estimate(std::size_t target, const PlacementQuery &query, Clock::TimePoint now) const;
    std::optional<std::size_t> select(const PlacementQuery &query, Clock::TimePoint now);
    void add(const PlacementKey &key, const PlacementQuery &query, std::size_t target, Clock::TimePoint now);
    std::map<PlacementKey, Placement>::iterator remove(std::map<PlacementKey, Placement>::iterator it);
    void clearTarget(std::size_t target);
    void useParts(std::size_t target, const std::vector<PromptPart> &parts);
    void updateRemote();

    ModelCapacity m_capacity;
    ResponseTimeModel m_times;
    CachedParts m_cachedParts;
    std::vector<std::optional<TargetWork>> m_targets; ///< Elements of targets that are gone are empty until they are used again.
    std::unordered_map<std::string, std::size_t> m_indices; ///< By target id.
    std::map<PlacementKey, Placement> m_placements;
    std::map<std::string, Remote> m_remotes; ///< By owner.
    std::vector<std::size_t> m_cachedTokens; ///< Of the query being decided, by target.
    std::vector<Estimate> m_estimates; ///< Likewise.
    std::map<std::size_t, std::vector<PromptPart>> m_newParts; ///< By target; placed since the last totals.
    PartStatistics m_statistics;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Placement/PlacementAnswer.h"
#include "Placement/PlacementTable.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class CatalogueTable;
class FleetTable;
class Metrics;

/// Places requests for the daemons of a data centre. Lock rank: Placements.
///
/// Keeps one PlacementTable for each service with a known capacity, with the targets of the daemon's own FleetTable. A daemon that is not
/// the owner has tables without placements at most for a moment, so nothing is handed over when the owner changes.
class PlacementOwner
{
public:
    PlacementOwner(const Clock &clock, const CatalogueTable &catalogue, FleetTable &fleet, Metrics &metrics);
    ~PlacementOwner();

    /// Selects targets for the requests of a daemon.
    std::vector<PlacementAnswer> place(const std::string &origin, const std::vector<PlacementQuery> &queries);

    void apply(const std::string &origin, const std::vector<PlacementReport> &reports);

    /// Replaces what another owner has placed at the targets of a service.
    void setRemote(const std::string &owner, const std::string &service, const std::vector<PlacementTotal> &totals);

    /// Returns by service what is to be told to the other owners.
    std::map<std::string, std::vector<PlacementTotal>> takeTotals();

    /// Drops the placements of daemons that are no longer live, those whose end was not reported in time, and the tables of services for
    /// which daemons have turned to another owner.
    void maintain(const std::function<bool(const std::string &vm)> &isLive);

private:
    struct Entry {
        explicit Entry(ModelCapacity capacity);

        PlacementTable table;
        Clock::TimePoint refreshed{};
        Clock::TimePoint used{}; ///< Last message of a daemon.
        PlacementTable::PartStatistics reported; ///< Already added to the metrics.
    };

    /// Updates the capacity and the targets of a service unless that was done a moment ago. Must be called without the lock.
    void refresh(const std::string &service, Clock::TimePoint now);
    Entry *find(const std::string &service);
    /// As above, for a message of a daemon.
    Entry *use(const std::string &service, Clock::TimePoint now);
    void recordParts(Entry &entry);

    const Clock &m_clock;
    const CatalogueTable &m_catalogue;
    FleetTable &m_fleet;
    Metrics &m_metrics;
    mutable RankedMutex m_mutex{LockRank::Placements};
    std::map<std::string, Entry> m_entries; ///< By service.
};

} // namespace Guavalock

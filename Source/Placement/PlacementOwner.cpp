#include "Placement/PlacementOwner.h"

#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/FleetTable.h"
#include "Kernel/Counter.h"
#include "Kernel/Gauge.h"
#include "Kernel/Metrics.h"

#include <set>

namespace Guavalock
{

namespace
{

/// How long a list of targets is used. Targets change rarely, and a daemon that is sent to a target which left asks again.
constexpr std::chrono::milliseconds candidateLifetime{50};

/// Tables that no daemon has used for this long are dropped. Longer than two daemons can consider themselves the owner.
constexpr std::chrono::seconds unusedLifetime{10};

} // namespace

PlacementOwner::Entry::Entry(ModelCapacity capacity)
    : table(capacity)
{
}

PlacementOwner::PlacementOwner(const Clock &clock, const CatalogueTable &catalogue, FleetTable &fleet, Metrics &metrics)
    : m_clock(clock)
    , m_catalogue(catalogue)
    , m_fleet(fleet)
    , m_metrics(metrics)
{
}

PlacementOwner::~PlacementOwner() = default;

PlacementOwner::Entry *PlacementOwner::find(const std::string &service)
{
    const auto it = m_entries.find(service);
    return it == m_entries.end() ? nullptr : &it->second;
}

PlacementOwner::Entry *PlacementOwner::use(const std::string &service, Clock::TimePoint now)
{
    Entry *entry = find(service);
    if (entry != nullptr) {
        entry->used = now;
    }
    return entry;
}

void PlacementOwner::refresh(const std::string &service, Clock::TimePoint now)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (const Entry *entry = find(service); entry != nullptr && now - entry->refreshed < candidateLifetime) {
            return;
        }
    }
    const std::shared_ptr<const Catalogue> catalogue = m_catalogue.current();
    const ServiceRecord *record = catalogue ? catalogue->service(service) : nullptr;
    if (record == nullptr || !record->capacity) {
        const std::scoped_lock lock(m_mutex);
        m_entries.erase(service);
        return;
    }
    const std::vector<PlacementCandidate> candidates = m_fleet.placementCandidates(*record, now);
    const std::scoped_lock lock(m_mutex);
    Entry &entry = m_entries.try_emplace(service, *record->capacity).first->second;
    entry.refreshed = now;
    entry.table.setCapacity(*record->capacity);
    entry.table.setTargets(candidates);
}

std::vector<PlacementAnswer> PlacementOwner::place(const std::string &origin, const std::vector<PlacementQuery> &queries)
{
    const Clock::TimePoint now = m_clock.now();
    std::vector<PlacementAnswer> answers;
    answers.reserve(queries.size());
    for (const PlacementQuery &it : queries) {
        refresh(it.service, now);
        const std::scoped_lock lock(m_mutex);
        PlacementAnswer answer{it.number, {}};
        if (Entry *entry = use(it.service, now)) {
            answer.target = entry->table.place(origin, it, now).value_or("");
            recordParts(*entry);
        }
        answers.push_back(std::move(answer));
    }
    return answers;
}

void PlacementOwner::recordParts(Entry &entry)
{
    const PlacementTable::PartStatistics &all = entry.table.partStatistics();
    m_metrics.counter("placement_part_tokens_total{state=\"cached\"}").add(all.cachedTokens - entry.reported.cachedTokens);
    m_metrics.counter("placement_part_tokens_total{state=\"processed\"}").add(all.processedTokens - entry.reported.processedTokens);
    entry.reported = all;
}

void PlacementOwner::apply(const std::string &origin, const std::vector<PlacementReport> &reports)
{
    const Clock::TimePoint now = m_clock.now();
    for (const PlacementReport &it : reports) {
        refresh(it.query.service, now);
        const std::scoped_lock lock(m_mutex);
        if (Entry *entry = use(it.query.service, now)) {
            entry->table.apply(origin, it, now);
        }
    }
}

void PlacementOwner::setRemote(const std::string &owner, const std::string &service, const std::vector<PlacementTotal> &totals)
{
    const Clock::TimePoint now = m_clock.now();
    refresh(service, now);
    const std::scoped_lock lock(m_mutex);
    if (Entry *entry = find(service)) {
        entry->table.setRemote(owner, totals, now);
    }
}

std::map<std::string, std::vector<PlacementTotal>> PlacementOwner::takeTotals()
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::vector<PlacementTotal>> totals;
    for (auto &[service, entry] : m_entries) {
        totals[service] = entry.table.takeTotals();
    }
    return totals;
}

void PlacementOwner::maintain(const std::function<bool(const std::string &vm)> &isLive)
{
    std::set<std::string> origins;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[service, entry] : m_entries) {
            origins.merge(entry.table.origins());
        }
    }
    std::erase_if(origins, isLive);
    const Clock::TimePoint now = m_clock.now();
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_entries, [now](const auto &it) { return now - it.second.used > unusedLifetime; });
    for (auto &[service, entry] : m_entries) {
        for (const std::string &it : origins) {
            entry.table.dropOrigin(it);
        }
        entry.table.expire(now);
        m_metrics.gauge("placements_in_progress{service=\"" + service + "\"}").set(entry.table.inProgress());
    }
}

} // namespace Guavalock

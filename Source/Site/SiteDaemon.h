#pragma once

#include "Kernel/SystemClock.h"
#include "Mesh/MeshNetwork.h"
#include "Relay/RelayParts.h"
#include "Site/SiteSettings.h"

#include <atomic>
#include <memory>

namespace Guavalock
{

class BatchOwner;
class ConnectionShare;
class FleetFollower;
class PieceRouter;
class RecordMirror;
class RelayFrontEnd;
class Roster;
class Site;
class StageTimes;
class StatusServer;
class WorkerPool;

/// One daemon of a fleet that finds its configuration, its targets and its peers in the deployment's store.
class SiteDaemon
{
public:
    SiteDaemon(const Site &site, SiteSettings settings);
    ~SiteDaemon();

    /// Starts to serve. Throws boost::system::system_error when an address cannot be had.
    void start();

    /// Takes over what may change while the daemon runs: seeds, the budget of repeats and the grace time. Addresses stay.
    void reload(const SiteSettings &settings);

    /// Carries out a planned stop and returns when it is over. Returns false when requests were still in progress at its end.
    ///
    /// Readiness ends first; requests are still taken until the balancer has moved on, and those in progress finish, for at most
    /// the grace time.
    bool stop();

private:
    MeshNetwork::Events meshEvents();
    void startFollower();
    boost::asio::awaitable<void> watchMembers();
    void noticeSleep();
    std::string readerFor(Topic topic) const;
    bool ready() const;

    const Site &m_site;
    SiteSettings m_settings;
    SystemClock m_clock;
    std::unique_ptr<WorkerPool> m_pool;
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<CatalogueTable> m_catalogue;
    std::unique_ptr<FleetTable> m_fleet;
    std::unique_ptr<ConnectionTable> m_connections;
    std::unique_ptr<ConnectionShare> m_connectionShare;
    std::unique_ptr<RepeatBudget> m_budget;
    std::unique_ptr<RecordMirror> m_mirror;
    std::unique_ptr<Roster> m_roster;
    std::unique_ptr<MeshNetwork> m_mesh;
    std::unique_ptr<BatchOwner> m_batches;
    std::unique_ptr<PieceRouter> m_pieces;
    std::unique_ptr<StageTimes> m_times;
    std::unique_ptr<FleetFollower> m_follower;
    std::unique_ptr<RelayParts> m_parts;
    std::unique_ptr<RelayFrontEnd> m_callers;
    std::unique_ptr<StatusServer> m_readiness;
    std::unique_ptr<StatusServer> m_metricsServer;
    Clock::Duration m_slept{}; ///< How long the machine has been suspended since it started.
    std::atomic<bool> m_draining{false};
};

} // namespace Guavalock

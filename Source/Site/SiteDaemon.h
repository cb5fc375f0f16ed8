#pragma once

#include "Kernel/RankedMutex.h"
#include "Kernel/SystemClock.h"
#include "Mesh/MeshNetwork.h"
#include "Relay/RelayContext.h"
#include "Site/SiteSettings.h"

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

class BacklogTable;
class BatchDispatcher;
class CrashDetector;
class EvidenceExchange;
class IdleConnectionLimit;
class FleetFollower;
class PieceRouter;
class PlacementExchange;
class QuarantineTable;
class RecordMirror;
class RelayFrontEnd;
class FleetMembership;
class Site;
class BufferBudget;
class RolloutExchange;
class RolloutTable;
class RouteDurations;
class StageTimes;
class StatusServer;
class StopSchedule;
struct StopPlan;
class UnansweredRequests;
class WorkerPool;

/// A daemon of a fleet that obtains its configuration, targets and peers from the record store of the deployment.
class SiteDaemon
{
public:
    SiteDaemon(const Site &site, SiteSettings settings);
    ~SiteDaemon();

    /// Returns the addresses without which the daemon cannot serve.
    std::vector<Endpoint> listenAddresses() const;

    /// Starts to serve. The address of the metrics may become available later. Throws boost::system::system_error if an address cannot be
    /// bound.
    void start();

    /// Applies the settings that can change at run time: seeds, retry budget and grace period. Changed addresses are ignored.
    void reload(const SiteSettings &settings);

    /// Performs a graceful shutdown and returns when it is complete. Returns false if requests were still in progress at the end.
    ///
    /// The daemon first reports that it is not ready. Until the load balancer has stopped sending requests, it accepts those that can be
    /// completed in time (see StopAdmission). It then waits for the requests in progress, and refuses those that are still without a
    /// response shortly before the end. The whole shutdown takes at most the grace period.
    bool stop();

private:
    enum class MetricsState {
        NotStarted,
        Unavailable, ///< Another socket uses the address.
        Served,
    };

    MeshNetwork::Callbacks meshCallbacks();
    void startFollower();
    boost::asio::awaitable<void> updateMembers();
    void detectSuspension();
    /// Starts to serve metrics unless that has succeeded before. Logs changes only.
    void startMetrics();
    /// Refuses the requests that wait and would outlast a planned stop if they began now.
    void refuseHopelessRequests(const StopPlan &plan);
    /// Plans the links to other daemons: those of LinkPlan, the partners, and the seeds while no daemon is linked.
    void planLinks(Clock::TimePoint now);
    std::vector<Endpoint> seeds();
    /// Returns the daemons to which this one sends work or requests for records.
    std::set<std::string> partners(Clock::TimePoint now) const;
    bool ready() const;

    const Site &m_site;
    SiteSettings m_settings;
    RankedMutex m_seedsMutex{LockRank::Configuration};
    std::vector<Endpoint> m_seeds; ///< Can change at run time.
    SystemClock m_clock;
    std::unique_ptr<WorkerPool> m_pool;
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<CatalogueTable> m_catalogue;
    std::unique_ptr<RolloutTable> m_rollouts;
    std::unique_ptr<FleetTable> m_fleet;
    std::unique_ptr<ConnectionTable> m_connections;
    std::unique_ptr<IdleConnectionLimit> m_connectionShare;
    std::unique_ptr<FleetRetryBudget> m_retryBudget;
    std::unique_ptr<RecordMirror> m_mirror;
    std::unique_ptr<FleetMembership> m_membership;
    std::unique_ptr<MeshNetwork> m_mesh;
    std::unique_ptr<QuarantineTable> m_quarantines;
    std::shared_ptr<EvidenceExchange> m_evidence;
    std::shared_ptr<RolloutExchange> m_rolloutExchange;
    std::shared_ptr<CrashDetector> m_crashDetector;
    std::unique_ptr<BacklogTable> m_backlogs;
    std::unique_ptr<BatchDispatcher> m_batchDispatcher;
    std::unique_ptr<PieceRouter> m_pieceRouter;
    std::shared_ptr<PlacementExchange> m_placement;
    std::unique_ptr<StageTimes> m_stageTimes;
    std::unique_ptr<RouteDurations> m_routeDurations;
    std::unique_ptr<UnansweredRequests> m_unanswered;
    std::unique_ptr<StopSchedule> m_stopSchedule;
    std::unique_ptr<BufferBudget> m_responseMemory;
    std::unique_ptr<FleetFollower> m_follower;
    std::unique_ptr<RelayContext> m_relayContext;
    std::unique_ptr<RelayFrontEnd> m_frontEnd;
    std::unique_ptr<StatusServer> m_readiness;
    std::unique_ptr<StatusServer> m_metricsServer;
    MetricsState m_metricsState = MetricsState::NotStarted;
    Clock::Duration m_suspendedTime{}; ///< Total time for which the machine has been suspended since boot, as of the last check.
    std::atomic<bool> m_draining{false};
};

} // namespace Guavalock

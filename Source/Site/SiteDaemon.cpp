#include "Site/SiteDaemon.h"

#include "Admission/BacklogTable.h"
#include "Batching/BatchDispatcher.h"
#include "Batching/PieceRouter.h"
#include "Batching/StageCodec.h"
#include "Batching/StageTimes.h"
#include "Decisions/Hash.h"
#include "Decisions/StopAdmission.h"
#include "Decisions/StopVerdict.h"
#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/FleetFollower.h"
#include "Fleet/FleetMembership.h"
#include "Fleet/FleetTable.h"
#include "Fleet/IdleConnectionLimit.h"
#include "Fleet/LinkPlan.h"
#include "Fleet/QuarantineTable.h"
#include "Fleet/RecordCodec.h"
#include "Fleet/RecordMirror.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Kernel/WorkerPool.h"
#include "Net/BufferBudget.h"
#include "Placement/PlacementExchange.h"
#include "Relay/CrashDetector.h"
#include "Relay/RelayCodec.h"
#include "Relay/RelayFrontEnd.h"
#include "Relay/RouteDurations.h"
#include "Relay/StopSchedule.h"
#include "Relay/UnansweredRequests.h"
#include "Rollout/RolloutExchange.h"
#include "Rollout/RolloutTable.h"
#include "Site/EvidenceExchange.h"
#include "Site/Site.h"
#include "Site/StatusServer.h"
#include "Targets/ConnectionTable.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <random>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::size_t workers = 1; ///< Machines of these fleets have at most one core.
constexpr std::chrono::milliseconds memberUpdateInterval{500}; ///< Equal to the heartbeat interval, at which the member list can change.
constexpr std::chrono::milliseconds shutdownPollInterval{50}; ///< Interval at which the remaining requests are polled during shutdown.
/// Time in which two readiness checks, one second apart, take the daemon out of the load balancer.
constexpr std::chrono::milliseconds routingDelay{2'200};
/// Time that clients need to stop sending requests after the daemon reports that it is not ready.
constexpr std::chrono::milliseconds closeDelay{3'200};
constexpr std::chrono::milliseconds shutdownMargin{400}; ///< Reserved at the end of the grace period for stopping the remaining components.
/// Reserved after the requests without a response have been cancelled, for sending their refusals.
constexpr std::chrono::milliseconds finalRefusalTime{400};
/// Shortest suspension that may have hidden changes. Without a suspension the two clocks differ by less.
constexpr std::chrono::milliseconds minSuspension{300};
constexpr std::chrono::seconds discoveryTime{3}; ///< Time after the start until the other daemons are known.

MemberRecord withIncarnation(MemberRecord self)
{
    std::random_device device;
    const std::uint64_t number = (static_cast<std::uint64_t>(device()) << 32U) | device();
    self.incarnation = Hash::hex(number);
    return self;
}

} // namespace

SiteDaemon::SiteDaemon(const Site &site, SiteSettings settings)
    : m_site(site)
    , m_settings(std::move(settings))
    , m_seeds(m_settings.seeds)
    , m_pool(std::make_unique<WorkerPool>(workers))
    , m_metrics(std::make_unique<Metrics>())
    , m_catalogue(std::make_unique<CatalogueTable>())
    , m_rollouts(std::make_unique<RolloutTable>(m_settings.rolloutLimits, *m_metrics))
    , m_fleet(std::make_unique<FleetTable>(m_settings.self.vm))
    , m_connections(std::make_unique<ConnectionTable>(m_pool->executor()))
    , m_connectionShare(std::make_unique<IdleConnectionLimit>())
    , m_retryBudget(std::make_unique<FleetRetryBudget>(m_settings.retryLimits))
    , m_mirror(std::make_unique<RecordMirror>([this](Topic topic, const std::string &key, const std::string &value) {
        return m_site.recordCodec().revision(topic, key, value);
    }))
    , m_membership(std::make_unique<FleetMembership>(withIncarnation(m_settings.self)))
    , m_mesh(std::make_unique<MeshNetwork>(m_pool->executor(), m_clock, *m_membership, *m_metrics, m_settings.memoryBytes))
    , m_quarantines(std::make_unique<QuarantineTable>(
          [this](std::uint64_t content, unsigned period) {
              const std::string task = "content " + Hash::hex(content) + ' ' + std::to_string(period);
              return m_membership->owner(task, m_clock.now()) == m_membership->self().vm;
          },
          *m_metrics))
    , m_evidence(std::make_shared<EvidenceExchange>(m_pool->executor(), m_clock, m_membership->self(), *m_quarantines, *m_fleet, *m_mesh))
    , m_rolloutExchange(std::make_shared<RolloutExchange>(
          m_pool->executor(),
          RolloutExchange::Dependencies{m_clock, *m_rollouts, *m_fleet, *m_membership, *m_mirror, m_site.recordCodec(), *m_mesh,
                                        *m_metrics},
          [this](Asio::any_io_executor strand) { return m_site.store(std::move(strand), m_settings.store); }))
    , m_crashDetector(std::make_shared<CrashDetector>(
          m_pool->executor(), m_clock, [this](const CrashReport &crash) { m_quarantines->recordCrash(crash, m_clock.now()); }))
    , m_backlogs(std::make_unique<BacklogTable>())
    , m_batchDispatcher(std::make_unique<BatchDispatcher>(
          m_pool->executor(),
          BatchDispatcher::Dependencies{m_clock, *m_catalogue, *m_fleet, *m_retryBudget, m_site.stageCodec(), *m_metrics},
          [this](const std::string &origin, const std::vector<PieceResult> &results, const std::vector<ServiceBacklog> &backlogs) {
              if (origin != m_membership->self().vm) {
                  return m_mesh->sendResults(origin, results, backlogs);
              }
              m_backlogs->record(backlogs, m_clock.now());
              m_pieceRouter->deliver(origin, results);
              return true;
          }))
    , m_pieceRouter(std::make_unique<PieceRouter>(m_clock, *m_membership, *m_mesh, *m_batchDispatcher))
    , m_placement(std::make_shared<PlacementExchange>(
          m_pool->executor(), PlacementExchange::Dependencies{m_clock, *m_catalogue, *m_fleet, *m_membership, *m_mesh, *m_metrics}))
    , m_stageTimes(std::make_unique<StageTimes>(m_backlogs.get()))
    , m_routeDurations(std::make_unique<RouteDurations>())
    , m_unanswered(std::make_unique<UnansweredRequests>())
    , m_stopSchedule(std::make_unique<StopSchedule>())
    , m_responseMemory(std::make_unique<BufferBudget>())
    , m_relayContext(new RelayContext{m_clock, *m_catalogue, *m_fleet, *m_connections, *m_connectionShare, *m_retryBudget, *m_quarantines,
                                      *m_crashDetector, *m_pieceRouter, *m_placement, *m_stageTimes, *m_backlogs, *m_routeDurations,
                                      *m_unanswered, *m_stopSchedule, *m_responseMemory, m_site.relayCodec(), *m_metrics})
    , m_frontEnd(std::make_unique<RelayFrontEnd>(*m_relayContext, m_pool->executor(), m_settings.callers))
    , m_readiness(std::make_unique<StatusServer>(m_pool->executor(), m_settings.readiness, [this](const std::string &path) {
        if (path != m_site.relayCodec().readinessPath()) {
            return StatusServer::Response{404, "not found\n"};
        }
        return ready() ? StatusServer::Response{200, "ready\n"} : StatusServer::Response{503, "not ready\n"};
    }))
{
    if (m_settings.metrics) {
        m_metricsServer = std::make_unique<StatusServer>(m_pool->executor(), *m_settings.metrics, [this](const std::string &) {
            return StatusServer::Response{200, m_metrics->prometheusText()};
        });
    }
}

SiteDaemon::~SiteDaemon()
{
    m_placement->stop();
    m_pool->stop();
}

bool SiteDaemon::ready() const
{
    return !m_draining && m_follower->ready();
}

std::set<std::string> SiteDaemon::partners(Clock::TimePoint now) const
{
    std::set<std::string> names;
    for (const Topic it : allTopics) {
        names.insert(m_membership->recordSource(topicName(it), now).vm);
    }
    if (const std::shared_ptr<const Catalogue> catalogue = m_catalogue->current()) {
        for (const std::string &it : catalogue->stageServices()) {
            names.insert(m_membership->owner(it, now));
        }
    }
    names.merge(m_rolloutExchange->coordinators(now));
    names.merge(m_placement->partners(now));
    names.erase(std::string());
    names.erase(m_membership->self().vm);
    return names;
}

std::vector<Endpoint> SiteDaemon::seeds()
{
    const std::scoped_lock lock(m_seedsMutex);
    return m_seeds;
}

void SiteDaemon::planLinks(Clock::TimePoint now)
{
    std::map<Endpoint, std::string> peers;
    for (const MemberRecord &it : m_membership->plannedLinks(now)) {
        peers[it.peerAddress] = it.vm;
    }
    for (const std::string &it : partners(now)) {
        peers[m_membership->record(it).peerAddress] = it;
    }
    peers.erase(Endpoint()); // Of partners that have just left.
    if (!m_membership->connected(now)) {
        for (const Endpoint &it : seeds()) {
            peers.try_emplace(it);
        }
    }
    peers.erase(m_membership->self().peerAddress);
    m_mesh->setPeers(std::move(peers));
}

MeshNetwork::Callbacks SiteDaemon::meshCallbacks()
{
    MeshNetwork::Callbacks callbacks;
    callbacks.pieces = [this](const std::string &vm, std::vector<Piece> pieces) {
        m_batchDispatcher->submit(vm, std::move(pieces));
    };
    callbacks.backlogs = [this](const std::vector<ServiceBacklog> &backlogs) {
        m_backlogs->record(backlogs, m_clock.now());
    };
    callbacks.results = [this](const std::string &vm, std::vector<PieceResult> results) {
        m_pieceRouter->deliver(vm, std::move(results));
    };
    callbacks.cancel = [this](const std::string &vm, const std::string &requestId) {
        m_batchDispatcher->cancel(vm, requestId);
    };
    callbacks.release = [this](std::vector<std::string> handles) {
        m_batchDispatcher->free(std::move(handles));
    };
    callbacks.recordsSince = [this](Topic topic, RecordPosition from) {
        return m_mirror->updateSince(topic, from);
    };
    callbacks.records = [this](const std::string &vm, RecordUpdate update) {
        m_follower->applyFromPeer(vm, std::move(update));
    };
    callbacks.evidence = [this](const std::string &vm, const Evidence &evidence) {
        m_evidence->receive(vm, evidence);
    };
    callbacks.evidenceSnapshot = [this] {
        return m_evidence->snapshot();
    };
    callbacks.rolloutEvidence = [this](const RolloutEvidence &evidence) {
        m_rolloutExchange->receive(evidence);
    };
    callbacks.rolloutState = [this](const RolloutState &state) {
        m_rolloutExchange->receive(state);
    };
    callbacks.placement = m_placement->handlers();
    callbacks.linked = [this](const std::string &vm) {
        m_placement->greet(vm);
    };
    return callbacks;
}

void SiteDaemon::startFollower()
{
    FleetFollower::Callbacks callbacks;
    callbacks.requestFromPeers = [this](Topic topic, RecordPosition from) {
        m_mesh->requestRecords(topic, from);
    };
    callbacks.recordSource = [this](Topic topic) {
        return m_membership->recordSource(topicName(topic), m_clock.now());
    };
    callbacks.requestFromReader = [this](const std::string &vm, Topic topic, RecordPosition from) {
        return m_mesh->requestRecordsFrom(vm, topic, from);
    };
    callbacks.memberUpdated = [this](const MemberRecord &member) {
        m_membership->updateMember(member);
    };
    callbacks.memberRemoved = [this](const std::string &vm) {
        m_membership->remove(vm);
    };
    callbacks.rolloutOrdered = [this](const RolloutOrder &order) {
        m_rollouts->applyOrder(order, m_clock.now());
    };
    callbacks.rolloutStatus = [this](const std::string &service, const std::optional<RolloutStatus> &status) {
        m_rollouts->applyStatus(service, status);
    };
    callbacks.rolloutStatusesLost = [this] {
        m_rollouts->markStatusesLost();
    };
    m_follower = std::make_unique<FleetFollower>(
        m_pool->executor(), FleetFollower::Dependencies{m_clock, *m_mirror, *m_catalogue, *m_fleet, m_site.recordCodec(), *m_metrics},
        std::move(callbacks), [this](Asio::any_io_executor strand) { return m_site.store(std::move(strand), m_settings.store); });
}

void SiteDaemon::start()
{
    const MemberRecord &self = m_membership->self();
    Log::info("daemon", "starting", {{"incarnation", self.incarnation}, {"data_centre", self.dataCentre}});
    m_fleet->setVersionFilter(*m_rollouts);
    startFollower();
    m_quarantines->onNews([this] { m_evidence->publish(); });
    m_fleet->onNews([this] { m_evidence->publish(); });
    m_mesh->start(meshCallbacks());
    m_placement->start();
    m_follower->start(self);
    m_rolloutExchange->start();
    m_frontEnd->start();
    m_readiness->start();
    startMetrics();
    Asio::co_spawn(m_pool->executor(), updateMembers(), Asio::detached);
    Log::info("daemon", "started", {{"callers", m_settings.callers.text()}, {"peers", self.peerAddress.text()}});
}

std::vector<Endpoint> SiteDaemon::listenAddresses() const
{
    return {m_settings.callers, m_settings.readiness, m_settings.self.peerAddress};
}

void SiteDaemon::startMetrics()
{
    if (!m_metricsServer || m_metricsState == MetricsState::Served) {
        return;
    }
    const boost::system::error_code ec = m_metricsServer->tryStart();
    const MetricsState before = std::exchange(m_metricsState, ec ? MetricsState::Unavailable : MetricsState::Served);
    if (ec && before != MetricsState::Unavailable) {
        Log::warning("daemon", "metrics-unavailable", {{"address", m_settings.metrics->text()}, {"reason", ec.message()}});
    } else if (!ec && before == MetricsState::Unavailable) {
        Log::info("daemon", "metrics-served", {{"address", m_settings.metrics->text()}});
    }
}

Asio::awaitable<void> SiteDaemon::updateMembers()
{
    const Clock::TimePoint discoveryEnd = m_clock.now() + discoveryTime;
    Asio::steady_timer timer(m_pool->executor());
    m_suspendedTime = m_clock.suspended();
    while (!m_draining) {
        detectSuspension();
        const Clock::TimePoint now = m_clock.now();
        planLinks(now);
        std::vector<std::string> names;
        for (const MemberRecord &it : m_membership->live(now)) {
            names.push_back(it.vm);
        }
        const bool relays = names.size() <= LinkPlan::fullMeshSize || m_membership->roster(now) != nullptr;
        m_evidence->setRelay(relays);
        m_rolloutExchange->setRelay(relays);
        m_retryBudget->setMemberCount(names.size());
        m_connectionShare->setMemberCount(names.size());
        m_placement->setMemberCount(names.size());
        startMetrics();
        m_fleet->setSenders(now < discoveryEnd ? std::vector<std::string>() : std::move(names));
        timer.expires_after(memberUpdateInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

void SiteDaemon::detectSuspension()
{
    const Clock::Duration slept = m_clock.suspended();
    if (slept - m_suspendedTime > minSuspension) {
        m_fleet->markAllCold(m_clock.now());
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(slept - m_suspendedTime);
        Log::warning("daemon", "was-suspended", {{"ms", std::to_string(milliseconds.count())}});
    }
    m_suspendedTime = slept;
}

void SiteDaemon::reload(const SiteSettings &settings)
{
    {
        const std::scoped_lock lock(m_seedsMutex);
        m_seeds = settings.seeds;
    }
    m_retryBudget->setLimits(settings.retryLimits);
    m_settings.gracePeriod = settings.gracePeriod;
    Log::info("daemon", "reloaded", {{"seeds", std::to_string(settings.seeds.size())}});
}

void SiteDaemon::refuseHopelessRequests(const StopPlan &plan)
{
    const Clock::TimePoint now = m_clock.now();
    const auto isHopeless = [&](const WaitingRequest &it) {
        const auto expected = m_routeDurations->upperBound(it.route, RouteDurations::Span::Run, now);
        return expected && StopAdmission::decide(plan, {it.receivedAt, it.deadline, expected}, now) == StopVerdict::Refused;
    };
    m_unanswered->cancelWaiting(isHopeless, RefusalCause::StopTimeout);
}

bool SiteDaemon::stop()
{
    const Clock::TimePoint begin = m_clock.now();
    const Clock::TimePoint end = begin + m_settings.gracePeriod - shutdownMargin;
    const Clock::Duration longestDelay = m_settings.gracePeriod / 2;
    const StopPlan plan{begin, begin + std::min<Clock::Duration>(routingDelay, longestDelay), end - finalRefusalTime};
    m_stopSchedule->begin(plan);
    m_draining = true;
    Log::info("daemon", "stopping", {{"requests", std::to_string(m_frontEnd->requestsInProgress())}});
    m_frontEnd->startDraining();
    m_membership->startDraining();
    m_mesh->startDraining();
    m_batchDispatcher->handOver();
    boost::asio::io_context timers;
    Asio::steady_timer timer(timers);
    const auto waitUntil = [&](Clock::TimePoint until, const std::function<bool()> &done) {
        while (m_clock.now() < until && !done()) {
            refuseHopelessRequests(plan);
            timer.expires_after(shutdownPollInterval);
            timer.wait();
        }
    };
    const auto hasNoRequests = [this] {
        return m_frontEnd->requestsInProgress() == 0;
    };
    waitUntil(begin + std::min<Clock::Duration>(closeDelay, longestDelay), [] { return false; });
    m_frontEnd->close();
    waitUntil(plan.end, hasNoRequests);
    m_unanswered->cancelAll(RefusalCause::StopTimeout);
    waitUntil(end, hasNoRequests);
    const std::size_t left = m_frontEnd->requestsInProgress();
    m_follower->stop();
    m_rolloutExchange->stop();
    m_batchDispatcher->stop();
    m_mesh->stop();
    Log::info("daemon", "stopped", {{"requests", std::to_string(left)}});
    return left == 0;
}

} // namespace Guavalock

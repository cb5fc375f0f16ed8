#include "Site/SiteDaemon.h"

#include "Batching/BatchOwner.h"
#include "Batching/PieceRouter.h"
#include "Batching/StageCodec.h"
#include "Batching/StageTimes.h"
#include "Decisions/Hash.h"
#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/ConnectionShare.h"
#include "Fleet/FleetFollower.h"
#include "Fleet/FleetTable.h"
#include "Fleet/RecordCodec.h"
#include "Fleet/RecordMirror.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Kernel/WorkerPool.h"
#include "Mesh/Roster.h"
#include "Relay/RelayCodec.h"
#include "Relay/RelayFrontEnd.h"
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

constexpr std::size_t workers = 1; ///< The machines of such fleets have one core or less.
constexpr std::chrono::milliseconds memberInterval{500}; ///< As often as heartbeats change the view of the members.
constexpr std::chrono::milliseconds stopInterval{50}; ///< Between looks at whether the last request has ended.
constexpr std::chrono::milliseconds noticeTime{3'200}; ///< From the end of readiness until the balancer sends nothing more.
constexpr std::chrono::milliseconds stopMargin{400}; ///< Before the end of the grace time.
constexpr std::chrono::milliseconds shortestSleep{300}; ///< A suspension that may have hidden changes; clocks differ by less.
constexpr std::chrono::seconds settleTime{3}; ///< A daemon younger than this does not know the others yet.

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
    , m_pool(std::make_unique<WorkerPool>(workers))
    , m_metrics(std::make_unique<Metrics>())
    , m_catalogue(std::make_unique<CatalogueTable>())
    , m_fleet(std::make_unique<FleetTable>(m_settings.self.vm))
    , m_connections(std::make_unique<ConnectionTable>(m_pool->executor()))
    , m_connectionShare(std::make_unique<ConnectionShare>())
    , m_budget(std::make_unique<RepeatBudget>(m_settings.repeats))
    , m_mirror(std::make_unique<RecordMirror>())
    , m_roster(std::make_unique<Roster>(withIncarnation(m_settings.self)))
    , m_mesh(std::make_unique<MeshNetwork>(m_pool->executor(), m_clock, *m_roster))
    , m_batches(std::make_unique<BatchOwner>(m_pool->executor(),
                                             BatchOwner::Parts{m_clock, *m_catalogue, *m_fleet, *m_budget, m_site.stageCodec(), *m_metrics},
                                             [this](const std::string &origin, const std::vector<PieceResult> &results) {
                                                 if (origin != m_roster->self().vm) {
                                                     return m_mesh->sendResults(origin, results);
                                                 }
                                                 m_pieces->deliver(origin, results);
                                                 return true;
                                             }))
    , m_pieces(std::make_unique<PieceRouter>(m_clock, *m_roster, *m_mesh, *m_batches))
    , m_times(std::make_unique<StageTimes>())
    , m_parts(new RelayParts{m_clock, *m_catalogue, *m_fleet, *m_connections, *m_connectionShare, *m_budget, *m_pieces, *m_times,
                             m_site.relayCodec(), *m_metrics})
    , m_callers(std::make_unique<RelayFrontEnd>(*m_parts, m_pool->executor(), m_settings.callers))
    , m_readiness(std::make_unique<StatusServer>(m_pool->executor(), m_settings.readiness, [this](const std::string &path) {
        if (path != m_site.relayCodec().readinessPath()) {
            return StatusServer::Page{404, "no such page\n"};
        }
        return ready() ? StatusServer::Page{200, "ready\n"} : StatusServer::Page{503, "not ready\n"};
    }))
{
    if (m_settings.metrics) {
        m_metricsServer = std::make_unique<StatusServer>(m_pool->executor(), *m_settings.metrics, [this](const std::string &) {
            return StatusServer::Page{200, m_metrics->prometheusText()};
        });
    }
}

SiteDaemon::~SiteDaemon()
{
    m_pool->stop();
}

bool SiteDaemon::ready() const
{
    return !m_draining && m_follower->ready();
}

std::string SiteDaemon::readerFor(Topic topic) const
{
    const std::string reader = m_roster->owner(topicName(topic), m_clock.now());
    return reader == m_roster->self().vm ? std::string() : reader;
}

MeshNetwork::Events SiteDaemon::meshEvents()
{
    MeshNetwork::Events events;
    events.pieces = [this](const std::string &vm, std::vector<Piece> pieces) {
        m_batches->submit(vm, std::move(pieces));
    };
    events.results = [this](const std::string &vm, std::vector<PieceResult> results) {
        m_pieces->deliver(vm, std::move(results));
    };
    events.cancel = [this](const std::string &vm, const std::string &requestId) {
        m_batches->cancel(vm, requestId);
    };
    events.release = [this](std::vector<std::string> handles) {
        m_batches->release(std::move(handles));
    };
    events.recordsRequest = [this](const std::string &vm, Topic topic, std::uint64_t from) {
        m_mesh->sendRecords(vm, m_mirror->since(topic, from));
    };
    events.records = [this](const RecordUpdate &update) {
        m_follower->takeFromPeer(update);
    };
    return events;
}

void SiteDaemon::startFollower()
{
    FleetFollower::Events events;
    events.askPeers = [this](Topic topic, std::uint64_t from) {
        m_mesh->requestRecords(topic, from);
    };
    events.reader = [this](Topic topic) {
        return readerFor(topic);
    };
    events.askReader = [this](const std::string &vm, Topic topic, std::uint64_t from) {
        return m_mesh->requestRecordsFrom(vm, topic, from);
    };
    events.member = [this](const MemberRecord &member) {
        m_mesh->dial(member.peerAddress);
    };
    events.memberLeft = [this](const std::string &vm) {
        m_roster->forget(vm);
    };
    m_follower = std::make_unique<FleetFollower>(
        m_pool->executor(), FleetFollower::Parts{m_clock, *m_mirror, *m_catalogue, *m_fleet, m_site.recordCodec(), *m_metrics},
        std::move(events), [this](Asio::any_io_executor strand) { return m_site.store(std::move(strand), m_settings.store); });
}

void SiteDaemon::start()
{
    const MemberRecord &self = m_roster->self();
    Log::state("daemon", "starting", {{"incarnation", self.incarnation}, {"data_centre", self.dataCentre}});
    startFollower();
    m_mesh->start(meshEvents());
    for (const Endpoint &it : m_settings.seeds) {
        m_mesh->dial(it);
    }
    m_follower->start(self);
    m_callers->start();
    m_readiness->start();
    if (m_metricsServer) {
        m_metricsServer->start();
    }
    Asio::co_spawn(m_pool->executor(), watchMembers(), Asio::detached);
    Log::state("daemon", "started", {{"callers", m_settings.callers.text()}, {"peers", self.peerAddress.text()}});
}

Asio::awaitable<void> SiteDaemon::watchMembers()
{
    const Clock::TimePoint settled = m_clock.now() + settleTime;
    Asio::steady_timer timer(m_pool->executor());
    m_slept = m_clock.suspended();
    while (!m_draining) {
        noticeSleep();
        const Clock::TimePoint now = m_clock.now();
        std::vector<std::string> names;
        for (const MemberRecord &it : m_roster->live(now)) {
            names.push_back(it.vm);
        }
        m_budget->setMembers(names.size());
        m_connectionShare->setMembers(names.size());
        m_fleet->setColdSenders(now < settled ? std::vector<std::string>() : std::move(names));
        timer.expires_after(memberInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

void SiteDaemon::noticeSleep()
{
    const Clock::Duration slept = m_clock.suspended();
    if (slept - m_slept > shortestSleep) {
        m_fleet->doubtAll(m_clock.now());
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(slept - m_slept);
        Log::warning("daemon", "was-suspended", {{"ms", std::to_string(milliseconds.count())}});
    }
    m_slept = slept;
}

void SiteDaemon::reload(const SiteSettings &settings)
{
    for (const Endpoint &it : settings.seeds) {
        m_mesh->dial(it);
    }
    m_budget->setTerms(settings.repeats);
    m_settings.graceTime = settings.graceTime;
    Log::state("daemon", "reloaded", {{"seeds", std::to_string(settings.seeds.size())}});
}

bool SiteDaemon::stop()
{
    const Clock::TimePoint begin = m_clock.now();
    m_draining = true;
    Log::state("daemon", "stopping", {{"requests", std::to_string(m_callers->requests())}});
    m_callers->startDraining();
    m_roster->startDraining();
    m_mesh->startDraining();
    m_batches->handOver();
    boost::asio::io_context timers;
    Asio::steady_timer timer(timers);
    timer.expires_after(std::min<Clock::Duration>(noticeTime, m_settings.graceTime / 2));
    timer.wait();
    m_callers->close();
    const Clock::TimePoint end = begin + m_settings.graceTime - stopMargin;
    while (m_clock.now() < end && m_callers->requests() > 0) {
        timer.expires_after(stopInterval);
        timer.wait();
    }
    const std::size_t left = m_callers->requests();
    m_follower->stop();
    m_batches->stop();
    m_mesh->stop();
    Log::state("daemon", "stopped", {{"requests", std::to_string(left)}});
    return left == 0;
}

} // namespace Guavalock

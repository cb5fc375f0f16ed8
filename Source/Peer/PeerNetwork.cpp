#include "Peer/PeerNetwork.h"

#include "Decisions/Hash.h"
#include "Flow/AttemptResult.h"
#include "Flow/Cancellation.h"
#include "Flow/OneShot.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Peer/FrameChannel.h"
#include "Peer/PeerLink.h"
#include "Pipeline/DaemonContext.h"
#include "Platform/ConfigurationService.h"
#include "Settings/Configuration.h"
#include "Settings/ProcessSettings.h"
#include "Tables/PoisonTable.h"
#include "Tables/TargetTable.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds heartbeatInterval{1'000};
constexpr std::chrono::milliseconds poolCheckInterval{100}; ///< Interval at which changes of the usable pools are detected.
constexpr std::chrono::seconds staleLogAge{3}; ///< If the log has not been read for longer, configuration is requested from peers.
/// Limits how long a suspect request waits until its peers know of the crash. Well above a round trip.
constexpr std::chrono::milliseconds crashAnnouncementTimeout{250};
constexpr std::size_t maxPeersTried = 3; ///< Per attempt.

} // namespace

/// Counts the stage calls that are executed at local targets on behalf of peers.
class PeerNetwork::CountingRoute : public AttemptRoute
{
public:
    explicit CountingRoute(AttemptRoute &local)
        : m_localRoute(local)
    {
    }

    Asio::awaitable<AttemptResult> attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation) override
    {
        ++m_inProgress;
        AttemptResult result = co_await m_localRoute.attempt(call, sink, cancellation);
        --m_inProgress;
        co_return result;
    }

    std::size_t inProgress() const
    {
        return m_inProgress;
    }

private:
    AttemptRoute &m_localRoute;
    std::atomic<std::size_t> m_inProgress{0};
};

PeerNetwork::PeerNetwork(const DaemonContext &context, MemberTable &members, AttemptRoute &local, ConfigurationService &configuration)
    : m_context(context)
    , m_members(members)
    , m_configuration(configuration)
    , m_strand(Asio::make_strand(context.executor))
    , m_acceptor(context.executor, context.settings.peerListen, [this](Acceptor::Socket socket) { handleAccepted(std::move(socket)); })
    , m_localRoute(std::make_unique<CountingRoute>(local))
    , m_controlBytes(context.metrics.counter("peer_control_bytes_total"))
    , m_events(sessionEvents())
{
    addLinks();
}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::addLinks()
{
    for (const PeerSettings &it : m_context.settings.peers) {
        if (it.vm == m_context.settings.vm) {
            continue;
        }
        m_members.add(it.vm, it.dataCentre);
        PeerLink::Events events;
        events.connected = [this, vm = it.vm] {
            handleLinkUp(*m_links.at(vm));
        };
        events.snapshot = [this](ConfigurationTree tree) {
            m_configuration.restoreSnapshot(std::move(tree));
        };
        m_links[it.vm] = std::make_unique<PeerLink>(m_context, m_members, it, std::move(events));
    }
}

PeerSession::Events PeerNetwork::sessionEvents()
{
    PeerSession::Events events;
    events.heartbeat = [this](const std::string &vm, const MemberTable::Heartbeat &it) {
        handleHeartbeat(vm, it);
    };
    events.death = [this](std::uint64_t fingerprint, std::size_t deaths) {
        m_context.poison.mergePeerDeaths(fingerprint, deaths, m_context.clock.now());
    };
    events.records = [this](const std::string &vm, const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from,
                            std::uint64_t next) {
        if (!m_configuration.applyFromPeer(records, from, next)) {
            requestSnapshot(vm);
        }
    };
    events.targetStatus = [this](const std::string &pool, const std::string &target, const LoadReport &report) {
        m_context.targets.applyPeerReport(pool, target, report, m_context.clock.now());
    };
    events.snapshot = [this] {
        return FrameBuilder::snapshot(m_context.configuration.tree());
    };
    return events;
}

void PeerNetwork::start()
{
    m_acceptor.start();
    Asio::co_spawn(m_strand, sendHeartbeats(), Asio::detached);
    for (auto &[vm, link] : m_links) {
        link->start();
    }
}

void PeerNetwork::startDraining()
{
    m_draining = true;
    MemberTable::Heartbeat state;
    state.draining = true;
    state.nextConfigurationOffset = m_context.configuration.nextOffset();
    broadcast(FrameBuilder::heartbeat(state));
}

void PeerNetwork::stop()
{
    m_acceptor.stop();
}

std::size_t PeerNetwork::callsInProgress() const
{
    return m_localRoute->inProgress();
}

void PeerNetwork::handleAccepted(Acceptor::Socket socket)
{
    const Asio::any_io_executor strand = socket.get_executor();
    const auto channel = std::make_shared<FrameChannel>(std::move(socket));
    const auto session = std::make_shared<PeerSession>(m_context, *m_localRoute, channel, m_events);
    Asio::co_spawn(
        strand, [session] { return session->run(); }, Asio::detached);
}

std::set<std::string> PeerNetwork::usablePools() const
{
    return m_context.targets.usablePools(m_context.clock.now());
}

MemberTable::Heartbeat PeerNetwork::nextHeartbeat()
{
    MemberTable::Heartbeat state;
    state.draining = m_draining;
    state.nextConfigurationOffset = m_context.configuration.nextOffset();
    state.pools = usablePools();
    state.poolsChanged = state.pools != m_lastSentPools;
    m_lastSentPools = state.pools;
    return state;
}

Asio::awaitable<void> PeerNetwork::sendHeartbeats()
{
    Asio::steady_timer timer(m_strand);
    Clock::TimePoint lastHeartbeat{};
    for (;;) {
        const Clock::TimePoint now = m_context.clock.now();
        const MemberTable::Heartbeat state = nextHeartbeat();
        if (state.poolsChanged || now - lastHeartbeat >= heartbeatInterval) {
            lastHeartbeat = now;
            broadcast(FrameBuilder::heartbeat(state));
        }
        timer.expires_after(poolCheckInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

void PeerNetwork::handleLinkUp(PeerLink &link)
{
    MemberTable::Heartbeat state;
    state.draining = m_draining;
    state.nextConfigurationOffset = m_context.configuration.nextOffset();
    state.pools = usablePools();
    state.poolsChanged = true;
    link.send(FrameBuilder::heartbeat(state));
    if (m_context.configuration.nextOffset() == 0) {
        link.send(FrameBuilder::snapshotRequest());
    }
}

void PeerNetwork::handleHeartbeat(const std::string &vm, const MemberTable::Heartbeat &heartbeat)
{
    const Clock::TimePoint now = m_context.clock.now();
    m_members.recordHeartbeat(vm, heartbeat, now);
    const bool behind = heartbeat.nextConfigurationOffset > m_context.configuration.nextOffset();
    if (behind && m_configuration.logAge(now) > staleLogAge) {
        requestSnapshot(vm);
    }
}

void PeerNetwork::requestSnapshot(const std::string &vm)
{
    const auto it = m_links.find(vm);
    if (it != m_links.end()) {
        it->second->send(FrameBuilder::snapshotRequest());
    }
}

void PeerNetwork::broadcast(const FrameBuilder::Bytes &frame)
{
    m_controlBytes.add(frame.size() * m_links.size());
    for (auto &[vm, link] : m_links) {
        link->send(frame);
    }
}

Asio::awaitable<void> PeerNetwork::announceTargetCrash(std::uint64_t requestFingerprint, std::size_t crashes, Cancellation &cancellation)
{
    const auto acknowledged = std::make_shared<OneShot<bool>>(cancellation.strand());
    const auto left = std::make_shared<std::atomic<std::size_t>>(m_links.size());
    for (auto &[vm, link] : m_links) {
        link->announceCrashes(requestFingerprint, crashes, [acknowledged, left] {
            if (--*left == 0) {
                acknowledged->set(true);
            }
        });
    }
    if (!m_links.empty()) {
        co_await acknowledged->wait(m_context.clock.now() + crashAnnouncementTimeout, cancellation);
    }
}

void PeerNetwork::sendTargetStatus(const std::string &pool, const std::string &target, const LoadReport &report)
{
    const FrameBuilder::Bytes frame = FrameBuilder::targetStatus(pool, target, report);
    for (auto &[vm, link] : m_links) {
        if (link->peer().dataCentre == m_context.settings.dataCentre) {
            m_controlBytes.add(frame.size());
            link->send(frame);
        }
    }
}

void PeerNetwork::broadcastRecords(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from, std::uint64_t next)
{
    broadcast(FrameBuilder::records(records, from, next));
}

std::vector<PeerLink *> PeerNetwork::candidates(const StageCall &call)
{
    const std::shared_ptr<const Configuration> configuration = m_context.configuration.current();
    const std::vector<std::string> names
        = m_members.membersServingPool(call.pool, m_context.settings.dataCentre, configuration->dataCentresOut, m_context.clock.now());
    std::vector<PeerLink *> links;
    // Round-robin, so that a peer that refuses every call does not keep the others from being tried.
    const std::size_t first = names.empty() ? 0 : m_nextPeer++ % names.size();
    for (std::size_t it = 0; it < names.size() && links.size() < maxPeersTried; ++it) {
        const auto link = m_links.find(names[(first + it) % names.size()]);
        if (link != m_links.end()) {
            links.push_back(link->second.get());
        }
    }
    return links;
}

Asio::awaitable<AttemptResult> PeerNetwork::attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation)
{
    AttemptResult result;
    result.cause = RefusalCause::NoTarget;
    result.detail = "no live peer has a usable target in pool " + call.pool;
    for (PeerLink *it : candidates(call)) {
        result = co_await it->call(call, sink, cancellation);
        const bool notAttempted = result.outcome == StageAttemptOutcome::NotSent && result.target.empty();
        if (!notAttempted) {
            co_return result;
        }
    }
    co_return result;
}

} // namespace Guavalock

#include "Peer/PeerNetwork.h"

#include "Decisions/Hash.h"
#include "Flow/AttemptResult.h"
#include "Flow/Cancellation.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Peer/FrameChannel.h"
#include "Peer/PeerLink.h"
#include "Pipeline/Services.h"
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
constexpr std::chrono::milliseconds changeInterval{100}; ///< How often a change of the usable pools is looked for.
constexpr std::chrono::seconds staleAge{3}; ///< After this long without the log, configuration is asked from peers.
constexpr std::size_t maxPeersTried = 3; ///< For one attempt.

} // namespace

/// Counts the calls that run at local targets on behalf of peers.
class PeerNetwork::CountingRoute : public AttemptRoute
{
public:
    explicit CountingRoute(AttemptRoute &local)
        : m_local(local)
    {
    }

    Asio::awaitable<AttemptResult> attempt(const StageCall &call, PartSink &sink, Cancellation &cancellation) override
    {
        ++m_inProgress;
        AttemptResult result = co_await m_local.attempt(call, sink, cancellation);
        --m_inProgress;
        co_return result;
    }

    std::size_t inProgress() const
    {
        return m_inProgress;
    }

private:
    AttemptRoute &m_local;
    std::atomic<std::size_t> m_inProgress{0};
};

PeerNetwork::PeerNetwork(const Services &services, MemberTable &members, AttemptRoute &local, ConfigurationService &configuration)
    : m_services(services)
    , m_members(members)
    , m_configuration(configuration)
    , m_strand(Asio::make_strand(services.executor))
    , m_acceptor(services.executor, services.settings.peerListen, [this](Acceptor::Socket socket) { accepted(std::move(socket)); })
    , m_local(std::make_unique<CountingRoute>(local))
    , m_bytes(services.metrics.counter("peer_control_bytes_total"))
    , m_events(sessionEvents())
{
    addLinks();
}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::addLinks()
{
    for (const PeerSettings &it : m_services.settings.peers) {
        if (it.vm == m_services.settings.vm) {
            continue;
        }
        m_members.add(it.vm, it.dataCentre);
        PeerLink::Events events;
        events.connected = [this, vm = it.vm] {
            linkUp(*m_links.at(vm));
        };
        events.snapshot = [this](ConfigurationTree tree) {
            m_configuration.restored(std::move(tree));
        };
        m_links[it.vm] = std::make_unique<PeerLink>(m_services, m_members, it, std::move(events));
    }
}

PeerSession::Events PeerNetwork::sessionEvents()
{
    PeerSession::Events events;
    events.heartbeat = [this](const std::string &vm, const MemberTable::Heard &it) {
        heard(vm, it);
    };
    events.death = [this](std::uint64_t fingerprint, std::size_t deaths) {
        m_services.poison.learned(fingerprint, deaths, m_services.clock.now());
    };
    events.records
        = [this](const std::string &vm, const std::vector<ConfigurationTable::Stamped> &records, std::uint64_t from, std::uint64_t next) {
              if (!m_configuration.learned(records, from, next)) {
                  requestSnapshot(vm);
              }
          };
    events.targetSign = [this](const std::string &pool, const std::string &target, const LoadReport &report) {
        m_services.targets.learned(pool, target, report, m_services.clock.now());
    };
    events.snapshot = [this] {
        return FrameBuilder::snapshot(m_services.configuration.tree());
    };
    return events;
}

void PeerNetwork::start()
{
    m_acceptor.start();
    Asio::co_spawn(m_strand, beat(), Asio::detached);
    for (auto &[vm, link] : m_links) {
        link->start();
    }
}

void PeerNetwork::startDraining()
{
    m_draining = true;
    MemberTable::Heard state;
    state.draining = true;
    state.configurationNext = m_services.configuration.nextOffset();
    broadcast(FrameBuilder::heartbeat(state));
}

void PeerNetwork::stop()
{
    m_acceptor.stop();
}

std::size_t PeerNetwork::callsInProgress() const
{
    return m_local->inProgress();
}

void PeerNetwork::accepted(Acceptor::Socket socket)
{
    const Asio::any_io_executor strand = socket.get_executor();
    const auto channel = std::make_shared<FrameChannel>(std::move(socket));
    const auto session = std::make_shared<PeerSession>(m_services, *m_local, channel, m_events);
    Asio::co_spawn(
        strand, [session] { return session->run(); }, Asio::detached);
}

std::set<std::string> PeerNetwork::usablePools() const
{
    return m_services.targets.usablePools(m_services.clock.now());
}

MemberTable::Heard PeerNetwork::ownState()
{
    MemberTable::Heard state;
    state.draining = m_draining;
    state.configurationNext = m_services.configuration.nextOffset();
    state.pools = usablePools();
    state.poolsChanged = state.pools != m_poolsSent;
    m_poolsSent = state.pools;
    return state;
}

Asio::awaitable<void> PeerNetwork::beat()
{
    Asio::steady_timer timer(m_strand);
    Clock::TimePoint lastBeat{};
    for (;;) {
        const Clock::TimePoint now = m_services.clock.now();
        const MemberTable::Heard state = ownState();
        if (state.poolsChanged || now - lastBeat >= heartbeatInterval) {
            lastBeat = now;
            broadcast(FrameBuilder::heartbeat(state));
        }
        timer.expires_after(changeInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

void PeerNetwork::linkUp(PeerLink &link)
{
    MemberTable::Heard state;
    state.draining = m_draining;
    state.configurationNext = m_services.configuration.nextOffset();
    state.pools = usablePools();
    state.poolsChanged = true;
    link.send(FrameBuilder::heartbeat(state));
    if (m_services.configuration.nextOffset() == 0) {
        link.send(FrameBuilder::snapshotRequest());
    }
}

void PeerNetwork::heard(const std::string &vm, const MemberTable::Heard &it)
{
    const Clock::TimePoint now = m_services.clock.now();
    m_members.heard(vm, it, now);
    const bool behind = it.configurationNext > m_services.configuration.nextOffset();
    if (behind && m_configuration.age(now) > staleAge) {
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
    m_bytes.add(frame.size() * m_links.size());
    for (auto &[vm, link] : m_links) {
        link->send(frame);
    }
}

void PeerNetwork::tellDeath(std::uint64_t fingerprint, std::size_t deaths)
{
    broadcast(FrameBuilder::death(fingerprint, deaths));
}

void PeerNetwork::tellTargetSign(const std::string &pool, const std::string &target, const LoadReport &report)
{
    const FrameBuilder::Bytes frame = FrameBuilder::targetSign(pool, target, report);
    for (auto &[vm, link] : m_links) {
        if (link->peer().dataCentre == m_services.settings.dataCentre) {
            m_bytes.add(frame.size());
            link->send(frame);
        }
    }
}

void PeerNetwork::tellRecords(const std::vector<ConfigurationTable::Stamped> &records, std::uint64_t from, std::uint64_t next)
{
    broadcast(FrameBuilder::records(records, from, next));
}

std::vector<PeerLink *> PeerNetwork::candidates(const StageCall &call)
{
    const std::shared_ptr<const Configuration> configuration = m_services.configuration.current();
    const std::vector<std::string> names
        = m_members.withPool(call.pool, m_services.settings.dataCentre, configuration->dataCentresOut, m_services.clock.now());
    std::vector<PeerLink *> links;
    // Peers take turns, so that one that refuses does not hide the others.
    const std::size_t first = names.empty() ? 0 : m_turn++ % names.size();
    for (std::size_t it = 0; it < names.size() && links.size() < maxPeersTried; ++it) {
        const auto link = m_links.find(names[(first + it) % names.size()]);
        if (link != m_links.end()) {
            links.push_back(link->second.get());
        }
    }
    return links;
}

Asio::awaitable<AttemptResult> PeerNetwork::attempt(const StageCall &call, PartSink &sink, Cancellation &cancellation)
{
    AttemptResult result;
    result.cause = RefusalCause::NoTarget;
    result.detail = "no peer has a target of the pool " + call.pool;
    for (PeerLink *it : candidates(call)) {
        result = co_await it->call(call, sink, cancellation);
        const bool unanswered = result.end == AttemptEnd::NotSent && result.target.empty();
        if (!unanswered) {
            co_return result;
        }
    }
    co_return result;
}

} // namespace Guavalock

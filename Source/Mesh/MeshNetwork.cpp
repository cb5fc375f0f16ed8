#include "Mesh/MeshNetwork.h"

#include "Decisions/Backoff.h"
#include "Decisions/Hash.h"
#include "Fleet/FleetMembership.h"
#include "Flow/DeadlineTimer.h"
#include "Kernel/Log.h"
#include "Mesh/EvidenceFrames.h"
#include "Mesh/MeshLink.h"
#include "Mesh/PlacementFrames.h"
#include "Mesh/RecordPeers.h"
#include "Mesh/RolloutFrames.h"
#include "Net/Connection.h"
#include "Peer/FrameChannel.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

/// Less than a third of the timeout after which a silent daemon receives no new work.
constexpr std::chrono::milliseconds heartbeatInterval{500};
constexpr std::chrono::milliseconds silenceTimeout{5'000}; ///< A link without a frame for this long is closed.
/// A link that is no longer planned is kept for this long, because plans change back when a hub or an owner returns.
constexpr std::chrono::seconds unplannedLinkTime{5};
/// Well above a round trip, but below the second after which a lost SYN packet is retransmitted.
constexpr std::chrono::milliseconds connectTimeout{800};
constexpr std::chrono::milliseconds initialReconnectDelay{200};
/// Limits the time until a restarted daemon is linked again.
constexpr std::chrono::milliseconds maxReconnectDelay{2'000};

SharedFrame share(MeshCodec::Bytes frame)
{
    return std::make_shared<const MeshCodec::Bytes>(std::move(frame));
}

LinkQueue::Slot requestSlot(Topic topic)
{
    return static_cast<LinkQueue::Slot>(static_cast<unsigned>(LinkQueue::Slot::OperatorRequest) + static_cast<unsigned>(topic));
}

} // namespace

MeshNetwork::MeshNetwork(Asio::any_io_executor executor, const Clock &clock, FleetMembership &membership, Metrics &metrics,
                         std::size_t memoryBytes)
    : m_executor(std::move(executor))
    , m_strand(Asio::make_strand(m_executor))
    , m_clock(clock)
    , m_membership(membership)
    , m_acceptor(m_executor, membership.self().peerAddress,
                 [this](Acceptor::Socket socket) {
                     auto channel = std::make_shared<FrameChannel>(std::move(socket));
                     Asio::co_spawn(channel->strand(), serve(channel, false), Asio::detached);
                 })
    , m_writer(clock, metrics, LinkBudget::bytesFor(memoryBytes))
    , m_random(Hash::of(membership.self().incarnation))
{
}

MeshNetwork::~MeshNetwork() = default;

void MeshNetwork::start(Callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
    m_writer.setSources({m_callbacks.recordsSince, m_callbacks.evidenceSnapshot});
    m_acceptor.start();
    Asio::co_spawn(m_strand, sendHeartbeats(), Asio::detached);
}

void MeshNetwork::stop()
{
    m_stopped = true;
    m_acceptor.stop();
}

void MeshNetwork::startDraining()
{
    m_draining = true;
    const SharedFrame heartbeat = share(MeshCodec::heartbeat(true));
    const std::scoped_lock lock(m_mutex);
    for (auto &[vm, links] : m_links) {
        sendHeartbeat(selectLink(vm, links), nullptr, heartbeat);
    }
}

void MeshNetwork::setPeers(std::map<Endpoint, std::string> peers)
{
    Asio::post(m_strand, [this, peers = std::move(peers)] { updatePeers(peers); });
}

void MeshNetwork::updatePeers(const std::map<Endpoint, std::string> &peers)
{
    const Clock::TimePoint now = m_clock.now();
    for (const auto &[endpoint, vm] : peers) {
        const auto [it, isNew] = m_peers.try_emplace(endpoint);
        it->second.vm = vm;
        it->second.lastPlanned = now;
        if (isNew) {
            Asio::co_spawn(m_strand, maintainLink(endpoint), Asio::detached);
        }
    }
    for (const auto &[endpoint, peer] : m_peers) {
        if (peer.channel && now - peer.lastPlanned > unplannedLinkTime) {
            peer.channel->close();
        }
    }
}

Asio::awaitable<std::shared_ptr<FrameChannel>> MeshNetwork::connect(const Endpoint &endpoint)
{
    Connection connection(Asio::make_strand(m_executor), endpoint);
    const DeadlineTimer timer(m_strand, m_clock.now() + connectTimeout, [&connection] { connection.close(); });
    const bool connected = co_await connection.connect();
    if (!connected) {
        co_return nullptr;
    }
    co_return std::make_shared<FrameChannel>(std::move(connection.socket()));
}

Asio::awaitable<void> MeshNetwork::maintainLink(Endpoint endpoint)
{
    Backoff backoff(initialReconnectDelay, maxReconnectDelay);
    Asio::steady_timer timer(m_strand);
    const auto isPlanned = [&] {
        return !m_stopped && m_clock.now() - m_peers[endpoint].lastPlanned <= unplannedLinkTime;
    };
    while (isPlanned()) {
        if (hasLink(m_peers[endpoint].vm)) {
            timer.expires_after(maxReconnectDelay);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
            continue;
        }
        const std::shared_ptr<FrameChannel> channel = co_await connect(endpoint);
        if (channel) {
            backoff.reset();
            m_peers[endpoint].channel = channel;
            co_await Asio::co_spawn(channel->strand(), serve(channel, true), Asio::use_awaitable);
            m_peers[endpoint].channel = nullptr;
        } else {
            m_membership.recordUnreachable(m_peers[endpoint].vm, m_clock.now());
        }
        timer.expires_after(backoff.next(m_random));
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    m_peers.erase(endpoint);
}

MeshNetwork::Link &MeshNetwork::selectLink(const std::string &vm, std::vector<Link> &links) const
{
    const bool openedHere = m_membership.self().vm < vm;
    const auto it = std::ranges::find(links, openedHere, &Link::outbound);
    return it == links.end() ? links.back() : *it;
}

bool MeshNetwork::hasLink(const std::string &vm)
{
    const std::scoped_lock lock(m_mutex);
    return m_links.contains(vm);
}

void MeshNetwork::addLink(const std::string &vm, const Link &link)
{
    bool first = false;
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<Link> &links = m_links[vm];
        first = links.empty();
        links.push_back(link);
    }
    if (first) {
        m_membership.setLinked(vm, true);
        Log::info("mesh", "link-up", {{"peer", vm}});
    }
    m_writer.setPeer(*link.link, vm);
    m_writer.requestSnapshot(*link.link);
    if (m_callbacks.linked) {
        m_callbacks.linked(vm);
    }
}

void MeshNetwork::removeLink(const std::string &vm, const std::shared_ptr<MeshLink> &link)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_links.find(vm);
        if (it == m_links.end()) {
            return;
        }
        std::erase_if(it->second, [&](const Link &it) { return it.link == link; });
        if (!it->second.empty()) {
            return;
        }
        m_links.erase(it);
    }
    m_membership.setLinked(vm, false);
    Log::warning("mesh", "link-down", {{"peer", vm}});
}

MeshHandlers MeshNetwork::handlersFor(const std::shared_ptr<std::string> &vm, const Link &link)
{
    MeshHandlers handlers;
    handlers.hello = [this, vm, link](const MemberRecord &member) {
        if (!vm->empty() || member.vm == m_membership.self().vm) {
            return;
        }
        *vm = member.vm;
        if (m_membership.updateMember(member)) {
            Log::info("mesh", "member", {{"vm", member.vm}, {"incarnation", member.incarnation}, {"source", "peer"}});
        }
        addLink(member.vm, link);
    };
    handlers.heartbeat = [this, vm](bool draining) {
        m_membership.recordHeartbeat(*vm, draining, m_clock.now());
    };
    handlers.roster = [this, vm](Roster roster) {
        m_membership.recordRoster(*vm, std::move(roster));
    };
    handlers.pieces = [this, vm](std::vector<Piece> pieces) {
        m_callbacks.pieces(*vm, std::move(pieces));
    };
    handlers.backlogs = m_callbacks.backlogs;
    handlers.results = [this, vm](std::vector<PieceResult> results) {
        m_callbacks.results(*vm, std::move(results));
    };
    handlers.cancel = [this, vm](const std::string &requestId) {
        m_callbacks.cancel(*vm, requestId);
    };
    handlers.release = m_callbacks.release;
    handlers.recordsRequest = [this, link](Topic topic, RecordPosition from, bool compressed) {
        m_writer.requestRecords(*link.link, {topic, from, compressed});
    };
    handlers.records = [this, vm](RecordUpdate update) {
        m_callbacks.records(*vm, std::move(update));
    };
    handlers.evidence = [this, vm](Evidence evidence) {
        m_callbacks.evidence(*vm, std::move(evidence));
    };
    handlers.rolloutEvidence = m_callbacks.rolloutEvidence;
    handlers.rolloutState = m_callbacks.rolloutState;
    handlers.placementQueries = [this, vm](std::vector<PlacementQuery> queries) {
        m_callbacks.placement.queries(*vm, std::move(queries));
    };
    handlers.placementAnswers = [this, vm](std::vector<PlacementAnswer> answers) {
        m_callbacks.placement.answers(*vm, std::move(answers));
    };
    handlers.placementReports = [this, vm](std::vector<PlacementReport> reports) {
        m_callbacks.placement.reports(*vm, std::move(reports));
    };
    handlers.placementTotals = [this, vm](const std::string &service, std::vector<PlacementTotal> totals) {
        m_callbacks.placement.totals(*vm, service, std::move(totals));
    };
    return handlers;
}

Asio::awaitable<void> MeshNetwork::serve(std::shared_ptr<FrameChannel> channel, bool outbound)
{
    const std::shared_ptr<MeshLink> link = m_writer.open(channel);
    m_writer.push(*link, FrameClass::Liveness, share(MeshCodec::hello(m_membership.self())));
    m_writer.push(*link, FrameClass::Liveness, share(MeshCodec::heartbeat(m_draining)), LinkQueue::Slot::Heartbeat);
    const auto vm = std::make_shared<std::string>();
    const MeshHandlers handlers = handlersFor(vm, {link, outbound, nullptr});
    while (true) {
        const DeadlineTimer silence(channel->strand(), m_clock.now() + silenceTimeout, [channel] { channel->close(); });
        const auto frame = co_await channel->read();
        if (!frame || !MeshCodec::decode(*frame, m_clock.now(), handlers)) {
            break;
        }
    }
    m_writer.close(link);
    if (!vm->empty()) {
        removeLink(*vm, link);
    }
}

void MeshNetwork::sendHeartbeat(Link &link, const std::shared_ptr<const Roster> &roster, const SharedFrame &heartbeat)
{
    if (roster && roster != link.roster) {
        m_writer.push(*link.link, FrameClass::Liveness, share(MeshCodec::roster(*roster)), LinkQueue::Slot::Roster);
        link.roster = roster;
    }
    m_writer.push(*link.link, FrameClass::Liveness, heartbeat, LinkQueue::Slot::Heartbeat);
}

Asio::awaitable<void> MeshNetwork::sendHeartbeats()
{
    Asio::steady_timer timer(m_strand);
    while (!m_stopped) {
        const std::shared_ptr<const Roster> roster = m_membership.roster(m_clock.now());
        const SharedFrame heartbeat = share(MeshCodec::heartbeat(m_draining));
        {
            const std::scoped_lock lock(m_mutex);
            for (auto &[vm, links] : m_links) {
                sendHeartbeat(selectLink(vm, links), roster, heartbeat);
            }
        }
        m_writer.check();
        timer.expires_after(heartbeatInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

bool MeshNetwork::send(const std::string &vm, FrameClass frameClass, MeshCodec::Bytes frame)
{
    return push(vm, frameClass, std::move(frame), LinkQueue::Slot::None);
}

bool MeshNetwork::push(const std::string &vm, FrameClass frameClass, MeshCodec::Bytes frame, LinkQueue::Slot slot)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_links.find(vm);
    if (it == m_links.end()) {
        return false;
    }
    m_writer.push(*selectLink(vm, it->second).link, frameClass, share(std::move(frame)), slot);
    return true;
}

bool MeshNetwork::sendPieces(const std::string &vm, const std::vector<Piece> &pieces)
{
    return send(vm, FrameClass::Work, MeshCodec::pieces(pieces, m_clock.now()));
}

bool MeshNetwork::sendResults(const std::string &vm, const std::vector<PieceResult> &results, const std::vector<ServiceBacklog> &backlogs)
{
    return send(vm, FrameClass::Work, MeshCodec::results(results, backlogs, m_clock.now()));
}

void MeshNetwork::sendCancel(const std::string &vm, const std::string &requestId)
{
    send(vm, FrameClass::Work, MeshCodec::cancel(requestId));
}

void MeshNetwork::sendFree(const std::string &vm, const std::vector<std::string> &handles)
{
    send(vm, FrameClass::Work, MeshCodec::release(handles));
}

bool MeshNetwork::sendPlacementQueries(const std::string &vm, const std::vector<PlacementQuery> &queries)
{
    return send(vm, FrameClass::Work, PlacementFrames::queries(queries));
}

bool MeshNetwork::sendPlacementAnswers(const std::string &vm, const std::vector<PlacementAnswer> &answers)
{
    return send(vm, FrameClass::Work, PlacementFrames::answers(answers));
}

bool MeshNetwork::sendPlacementReports(const std::string &vm, const std::vector<PlacementReport> &reports)
{
    return send(vm, FrameClass::Work, PlacementFrames::reports(reports));
}

bool MeshNetwork::sendPlacementTotals(const std::string &vm, const std::string &service, const std::vector<PlacementTotal> &totals)
{
    return send(vm, FrameClass::Work, PlacementFrames::totals(service, totals));
}

void MeshNetwork::requestRecords(Topic topic, RecordPosition from)
{
    std::vector<RecordPeers::Candidate> linked;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[vm, links] : m_links) {
            linked.push_back({vm, {}, false});
        }
    }
    for (RecordPeers::Candidate &it : linked) {
        it.dataCentre = m_membership.record(it.vm).dataCentre;
        it.isResponsive = m_membership.reachable(it.vm, m_clock.now());
    }
    std::vector<std::string> chosen;
    {
        const std::scoped_lock lock(m_mutex);
        chosen = RecordPeers::choose(std::move(linked), m_membership.self().dataCentre, m_random);
    }
    for (const std::string &it : chosen) {
        requestRecordsFrom(it, topic, from);
    }
}

bool MeshNetwork::requestRecordsFrom(const std::string &vm, Topic topic, RecordPosition from)
{
    return push(vm, FrameClass::Records, MeshCodec::recordsRequest(topic, from), requestSlot(topic));
}

void MeshNetwork::broadcastEvidence(const Evidence &evidence, const std::set<std::string> &except)
{
    broadcast(FrameClass::Evidence, EvidenceFrames::encode(evidence, m_clock.now()), except);
}

void MeshNetwork::broadcast(FrameClass frameClass, MeshCodec::Bytes frame, const std::set<std::string> &except)
{
    const SharedFrame shared = share(std::move(frame));
    const std::scoped_lock lock(m_mutex);
    for (auto &[vm, links] : m_links) {
        if (!except.contains(vm)) {
            m_writer.push(*selectLink(vm, links).link, frameClass, shared);
        }
    }
}

bool MeshNetwork::sendRolloutEvidence(const std::string &vm, const RolloutEvidence &evidence)
{
    return send(vm, FrameClass::Work, RolloutFrames::evidence(evidence, m_clock.now()));
}

void MeshNetwork::broadcastRolloutState(const RolloutState &state)
{
    broadcast(FrameClass::Work, RolloutFrames::state(state, m_clock.now()), {});
}

} // namespace Guavalock

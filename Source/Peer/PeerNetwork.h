#pragma once

#include "Decisions/RandomEngine.h"
#include "Flow/AttemptRoute.h"
#include "Net/Acceptor.h"
#include "Peer/PeerSession.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Guavalock
{

class ConfigurationService;
class Counter;
class MemberTable;
class PeerLink;

/// Manages the connections to and from other daemons. As an AttemptRoute, executes stage calls at peers.
class PeerNetwork : public AttemptRoute
{
public:
    PeerNetwork(const DaemonContext &context, MemberTable &members, AttemptRoute &local, ConfigurationService &configuration);
    ~PeerNetwork() override;

    /// Starts listening and connects to every configured peer. Throws boost::system::system_error if the address cannot be bound.
    void start();

    /// Announces to all peers that this daemon is draining, so that they send it no more calls.
    void startDraining();

    void stop();

    /// Returns the number of stage calls in progress on behalf of peers.
    std::size_t callsInProgress() const;

    /// Notifies all peers of a request that was in flight when its target crashed. Returns when all connected peers have acknowledged it,
    /// after a time-out, or when the request is cancelled. Runs on the request's strand.
    boost::asio::awaitable<void> announceTargetCrash(std::uint64_t requestFingerprint, std::size_t crashes, Cancellation &cancellation);

    /// Notifies the peers in the same data centre that the state of a target has changed.
    void sendTargetStatus(const std::string &pool, const std::string &target, const LoadReport &report);

    /// Forwards configuration records to all peers.
    void broadcastRecords(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from, std::uint64_t next);

    boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation) override;

private:
    class CountingRoute;

    void addLinks();
    PeerSession::Events sessionEvents();
    void broadcast(const FrameBuilder::Bytes &frame);
    void handleLinkUp(PeerLink &link);
    void requestSnapshot(const std::string &vm);
    void handleHeartbeat(const std::string &vm, const MemberTable::Heartbeat &heartbeat);
    MemberTable::Heartbeat nextHeartbeat();
    std::set<std::string> usablePools() const;
    void handleAccepted(Acceptor::Socket socket);
    boost::asio::awaitable<void> sendHeartbeats();
    std::vector<PeerLink *> candidates(const StageCall &call);

    const DaemonContext &m_context;
    MemberTable &m_members;
    ConfigurationService &m_configuration;
    boost::asio::any_io_executor m_strand;
    Acceptor m_acceptor;
    std::unique_ptr<CountingRoute> m_localRoute;
    Counter &m_controlBytes; ///< Payload bytes of control frames sent to all peers, without TCP overhead.
    PeerSession::Events m_events;
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    std::set<std::string> m_lastSentPools;
    std::atomic<bool> m_draining{false};
    std::atomic<std::uint64_t> m_nextPeer{0};
};

} // namespace Guavalock

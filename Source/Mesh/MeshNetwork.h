#pragma once

#include "Batching/PieceTransport.h"
#include "Decisions/RandomEngine.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Mesh/FrameClass.h"
#include "Mesh/MeshCodec.h"
#include "Mesh/MeshLinks.h"
#include "Net/Acceptor.h"
#include "Placement/PlacementHandlers.h"
#include "Placement/PlacementTransport.h"
#include "Rollout/RolloutTransport.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Guavalock
{

class FrameChannel;
class FleetMembership;
class MeshLink;
class Metrics;

/// The connections between daemons. Each daemon keeps connections to a few others (see LinkPlan), and sends to all that are connected to
/// it, whichever side has opened the connection.
class MeshNetwork : public PieceTransport, public PlacementTransport, public RolloutTransport
{
public:
    /// Handlers for the frames of other daemons; `vm` is the sender.
    struct Callbacks {
        std::function<void(const std::string &vm, std::vector<Piece>)> pieces;
        std::function<void(std::vector<ServiceBacklog>)> backlogs;
        std::function<void(const std::string &vm, std::vector<PieceResult>)> results;
        std::function<void(const std::string &vm, const std::string &requestId)> cancel;
        std::function<void(std::vector<std::string> handles)> release;
        /// Returns the records of a topic from a position on, for a daemon that has requested them.
        std::function<RecordUpdate(Topic, RecordPosition from)> recordsSince;
        std::function<void(const std::string &vm, RecordUpdate)> records;
        std::function<void(const std::string &vm, Evidence)> evidence;
        /// Returns the evidence for a daemon that has been linked or to which some could not be sent.
        std::function<Evidence()> evidenceSnapshot;
        std::function<void(RolloutEvidence)> rolloutEvidence;
        std::function<void(RolloutState)> rolloutState;
        PlacementHandlers placement;
        std::function<void(const std::string &vm)> linked; ///< A link to a daemon has been added.
    };

    /// `memoryBytes` is the memory assigned to the process, of which the links use a share, or zero if it is not known.
    MeshNetwork(boost::asio::any_io_executor executor, const Clock &clock, FleetMembership &membership, Metrics &metrics,
                std::size_t memoryBytes);
    ~MeshNetwork() override;

    /// Starts to listen. Throws boost::system::system_error if the address cannot be bound.
    void start(Callbacks callbacks);

    /// Sets the addresses to which links are maintained, by the Vm name of the daemon that is expected there; seeds have none. Other links
    /// that this daemon has opened are closed after a while. Thread-safe.
    void setPeers(std::map<Endpoint, std::string> peers);

    /// Tells the other daemons to send no new work to this one.
    void startDraining();

    void stop();

    /// Queues a frame for a daemon, see MeshCodec. Returns false if it is not linked. Thread-safe.
    bool send(const std::string &vm, FrameClass frameClass, MeshCodec::Bytes frame);

    /// Queues a frame for all linked daemons but some. It is stored once. Thread-safe.
    void broadcast(FrameClass frameClass, MeshCodec::Bytes frame, const std::set<std::string> &except = {});

    bool sendPieces(const std::string &vm, const std::vector<Piece> &pieces) override;
    bool sendResults(const std::string &vm, const std::vector<PieceResult> &results, const std::vector<ServiceBacklog> &backlogs) override;
    void sendCancel(const std::string &vm, const std::string &requestId) override;
    void sendFree(const std::string &vm, const std::vector<std::string> &handles) override;

    bool sendPlacementQueries(const std::string &vm, const std::vector<PlacementQuery> &queries) override;
    bool sendPlacementAnswers(const std::string &vm, const std::vector<PlacementAnswer> &answers) override;
    bool sendPlacementReports(const std::string &vm, const std::vector<PlacementReport> &reports) override;
    bool sendPlacementTotals(const std::string &vm, const std::string &service, const std::vector<PlacementTotal> &totals) override;

    /// Requests the records of a topic from some of the linked daemons.
    void requestRecords(Topic topic, RecordPosition from);

    /// Requests the records of a topic from one daemon. Returns false if it is not linked.
    bool requestRecordsFrom(const std::string &vm, Topic topic, RecordPosition from);

    /// Sends evidence to all linked daemons but some.
    void broadcastEvidence(const Evidence &evidence, const std::set<std::string> &except);

    bool sendRolloutEvidence(const std::string &vm, const RolloutEvidence &evidence) override;
    void broadcastRolloutState(const RolloutState &state) override;

private:
    /// A connection to another daemon, and what it has been sent.
    struct Link {
        std::shared_ptr<MeshLink> link;
        bool outbound = false; ///< Whether this daemon has opened it.
        std::shared_ptr<const Roster> roster; ///< As last sent.
    };

    /// An address to which a link is maintained.
    struct Peer {
        std::string vm; ///< Empty if not known.
        Clock::TimePoint lastPlanned;
        std::shared_ptr<FrameChannel> channel; ///< Null while not connected.
    };

    void updatePeers(const std::map<Endpoint, std::string> &peers);
    boost::asio::awaitable<void> maintainLink(Endpoint endpoint);
    boost::asio::awaitable<std::shared_ptr<FrameChannel>> connect(const Endpoint &endpoint);
    /// Exchanges frames until the connection is closed or silent.
    boost::asio::awaitable<void> serve(std::shared_ptr<FrameChannel> channel, bool outbound);
    boost::asio::awaitable<void> sendHeartbeats();
    void sendHeartbeat(Link &link, const std::shared_ptr<const Roster> &roster, const SharedFrame &heartbeat);
    MeshHandlers handlersFor(const std::shared_ptr<std::string> &vm, const Link &link);
    /// Returns the connection on which to send. Of two, both sides select the one that the daemon with the smaller name has opened; the
    /// other falls silent and is closed.
    Link &selectLink(const std::string &vm, std::vector<Link> &links) const;
    bool hasLink(const std::string &vm);
    bool push(const std::string &vm, FrameClass frameClass, MeshCodec::Bytes frame, LinkQueue::Slot slot);
    void addLink(const std::string &vm, const Link &link);
    void removeLink(const std::string &vm, const std::shared_ptr<MeshLink> &link);

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand;
    const Clock &m_clock;
    FleetMembership &m_membership;
    Callbacks m_callbacks;
    Acceptor m_acceptor;
    MeshLinks m_writer; ///< Its lock may be taken while m_mutex is held.
    RankedMutex m_mutex{LockRank::Connections};
    std::map<std::string, std::vector<Link>> m_links; ///< By daemon. There are two while both sides have opened one.
    std::map<Endpoint, Peer> m_peers; ///< Accessed only on the strand.
    RandomEngine m_random;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_stopped{false};
};

} // namespace Guavalock

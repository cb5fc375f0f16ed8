#pragma once

#include "Batching/PieceTransport.h"
#include "Decisions/RandomEngine.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Mesh/MeshCodec.h"
#include "Net/Acceptor.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

class FrameChannel;
class Roster;

/// The links between daemons. Each daemon dials every other that it knows and sends on the links that it dialled.
class MeshNetwork : public PieceTransport
{
public:
    /// What frames of other daemons lead to; each is told the sender's name.
    struct Events {
        std::function<void(const std::string &vm, std::vector<Piece>)> pieces;
        std::function<void(const std::string &vm, std::vector<PieceResult>)> results;
        std::function<void(const std::string &vm, const std::string &requestId)> cancel;
        std::function<void(std::vector<std::string> handles)> release;
        std::function<void(const std::string &vm, Topic, std::uint64_t from)> recordsRequest;
        std::function<void(RecordUpdate)> records;
    };

    MeshNetwork(boost::asio::any_io_executor executor, const Clock &clock, Roster &roster);
    ~MeshNetwork() override;

    /// Listens. Throws boost::system::system_error when the address cannot be had.
    void start(Events events);

    /// Dials an address and keeps a link to whoever answers there. Callable from any thread.
    void dial(const Endpoint &endpoint);

    /// Tells the others to send no new work here.
    void startDraining();

    void stop();

    bool sendPieces(const std::string &vm, const std::vector<Piece> &pieces) override;
    bool sendResults(const std::string &vm, const std::vector<PieceResult> &results) override;
    void sendCancel(const std::string &vm, const std::string &requestId) override;
    void sendRelease(const std::string &vm, const std::vector<std::string> &handles) override;

    /// Asks some of the linked daemons for records that they have and this one may lack.
    void requestRecords(Topic topic, std::uint64_t from);

    /// Asks one daemon for records. Returns false when it is not linked.
    bool requestRecordsFrom(const std::string &vm, Topic topic, std::uint64_t from);

    void sendRecords(const std::string &vm, const RecordUpdate &update);

private:
    struct Link {
        std::shared_ptr<FrameChannel> channel;
        Endpoint endpoint;
    };

    boost::asio::awaitable<void> keepLink(Endpoint endpoint);
    boost::asio::awaitable<std::shared_ptr<FrameChannel>> connect(const Endpoint &endpoint);
    boost::asio::awaitable<void> holdLink(std::shared_ptr<FrameChannel> channel, Endpoint endpoint);
    boost::asio::awaitable<void> serve(std::shared_ptr<FrameChannel> channel);
    boost::asio::awaitable<void> beat();
    MeshHandlers handlersFor(const std::shared_ptr<std::string> &vm);
    bool send(const std::string &vm, MeshCodec::Bytes frame);
    void linkUp(const std::string &vm, Link link);
    void linkDown(const std::string &vm, const std::shared_ptr<FrameChannel> &channel);

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand;
    const Clock &m_clock;
    Roster &m_roster;
    Events m_events;
    Acceptor m_acceptor;
    RankedMutex m_mutex{LockRank::Connections};
    std::map<std::string, Link> m_links; ///< By the name of the daemon.
    std::map<std::string, bool> m_dialled; ///< Addresses that a link is kept to. Used on the strand.
    RandomEngine m_random;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_stopped{false};
};

} // namespace Guavalock

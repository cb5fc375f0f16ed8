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

/// All connections to and from other daemons, and the route for stages that only they can run.
class PeerNetwork : public AttemptRoute
{
public:
    PeerNetwork(const Services &services, MemberTable &members, AttemptRoute &local, ConfigurationService &configuration);
    ~PeerNetwork() override;

    /// Listens and dials every peer of the settings. Throws boost::system::system_error when the address cannot be had.
    void start();

    /// Tells peers to send nothing more here.
    void startDraining();

    void stop();

    /// Returns how many calls of peers are in progress here.
    std::size_t callsInProgress() const;

    /// Tells every peer of a request that was in flight when its target died.
    void tellDeath(std::uint64_t fingerprint, std::size_t deaths);

    /// Tells the daemons of this data centre that a target's state has changed.
    void tellTargetSign(const std::string &pool, const std::string &target, const LoadReport &report);

    /// Passes configuration records on to every peer.
    void tellRecords(const std::vector<ConfigurationTable::Stamped> &records, std::uint64_t from, std::uint64_t next);

    boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, PartSink &sink, Cancellation &cancellation) override;

private:
    class CountingRoute;

    void addLinks();
    PeerSession::Events sessionEvents();
    void broadcast(const FrameBuilder::Bytes &frame);
    void linkUp(PeerLink &link);
    void requestSnapshot(const std::string &vm);
    void heard(const std::string &vm, const MemberTable::Heard &heard);
    MemberTable::Heard ownState();
    std::set<std::string> usablePools() const;
    void accepted(Acceptor::Socket socket);
    boost::asio::awaitable<void> beat();
    std::vector<PeerLink *> candidates(const StageCall &call);

    const Services &m_services;
    MemberTable &m_members;
    ConfigurationService &m_configuration;
    boost::asio::any_io_executor m_strand;
    Acceptor m_acceptor;
    std::unique_ptr<CountingRoute> m_local;
    Counter &m_bytes; ///< Of control frames to all peers, without TCP's own.
    PeerSession::Events m_events;
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    std::set<std::string> m_poolsSent;
    std::atomic<bool> m_draining{false};
    std::atomic<std::uint64_t> m_turn{0};
};

} // namespace Guavalock

#pragma once

#include "Fleet/Evidence.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Site/EvidenceRelay.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace Guavalock
{

class FleetTable;
class MeshNetwork;
class QuarantineTable;
struct MemberRecord;

/// Exchanges the evidence of QuarantineTable and the limits of FleetTable with the other daemons. EvidenceRelay decides what is forwarded.
///
/// Evidence is gathered for a short time, because one crash is seen by many requests. Owned by a shared_ptr.
class EvidenceExchange : public std::enable_shared_from_this<EvidenceExchange>
{
public:
    EvidenceExchange(const boost::asio::any_io_executor &executor, const Clock &clock, const MemberRecord &self,
                     QuarantineTable &quarantines, FleetTable &fleet, MeshNetwork &mesh);

    /// Sets whether this daemon forwards the evidence of others: in small fleets all do, in large ones the hubs. Thread-safe.
    void setRelay(bool relay);

    /// Sends what this daemon has recorded and decided. Thread-safe.
    void publish();

    /// Merges evidence that the daemon `vm` has sent, and forwards it if it has arrived for the first time. Thread-safe.
    void receive(const std::string &vm, const Evidence &evidence);

    /// Returns the evidence for a daemon that has just been linked or to which some could not be sent, see EvidenceRelay. Thread-safe.
    Evidence snapshot();

private:
    bool accept(const std::string &vm, const Evidence &evidence);
    void schedule(Evidence relayed);
    boost::asio::awaitable<void> send();

    boost::asio::any_io_executor m_strand;
    const Clock &m_clock;
    QuarantineTable &m_quarantines;
    FleetTable &m_fleet;
    MeshNetwork &m_mesh;
    std::atomic<bool> m_relay{false};
    RankedMutex m_mutex{LockRank::Connections};
    EvidenceRelay m_relayDecision; ///< Guarded by the mutex.
    Evidence m_relayed; ///< Of snapshots; accessed only on the strand.
    bool m_scheduled = false; ///< Accessed only on the strand.
};

} // namespace Guavalock

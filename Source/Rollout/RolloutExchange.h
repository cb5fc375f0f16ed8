#pragma once

#include "Rollout/EvidenceCollection.h"
#include "Rollout/RolloutCoordinator.h"
#include "Rollout/RolloutTable.h"
#include "Rollout/VerdictConfirmation.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Guavalock
{

class FleetMembership;
class FleetTable;
class Metrics;
class RecordCodec;
class RecordMirror;
class RecordStore;
class RolloutTransport;

/// Exchanges evidence and decisions of rollouts with the other daemons, and runs the coordinators of the services that this daemon owns.
/// Owned by a shared_ptr. All public members are thread-safe.
class RolloutExchange : public std::enable_shared_from_this<RolloutExchange>
{
public:
    struct Dependencies {
        const Clock &clock;
        RolloutTable &rollouts;
        FleetTable &fleet;
        FleetMembership &membership;
        RecordMirror &mirror;
        const RecordCodec &codec;
        RolloutTransport &transport;
        Metrics &metrics;
    };

    /// Creates a store client for use on one strand.
    using StoreFactory = std::function<std::unique_ptr<RecordStore>(boost::asio::any_io_executor strand)>;

    RolloutExchange(const boost::asio::any_io_executor &executor, Dependencies dependencies, StoreFactory storeFactory);
    ~RolloutExchange();

    void start();
    void stop();

    /// Sets whether this daemon passes on the states of coordinators: in small fleets all do, in large ones the hubs.
    void setRelay(bool relay);

    void receive(const RolloutEvidence &evidence);
    void receive(const RolloutState &state);

    /// Returns the daemons that coordinate the present orders, to which this one should be linked.
    std::set<std::string> coordinators(Clock::TimePoint now) const;

private:
    /// What this daemon has sent about one order.
    struct Sent {
        std::string coordinator;
        RolloutEvidence evidence; ///< Without a sequence number.
        Clock::TimePoint time;
    };

    /// An order that this daemon coordinates.
    struct Coordination {
        explicit Coordination(const RolloutOrder &order)
            : version(order.version)
            , decision(order)
        {
        }

        std::string version;
        RolloutCoordinator decision;
        EvidenceCollection evidence;
        VerdictConfirmation confirmation;
        VersionVerdict::Kind verdict = VersionVerdict::Kind::NotEnoughSeen; ///< As last logged.
        RolloutState state; ///< As last sent.
        Clock::TimePoint stateSent;
        std::uint64_t badResponses = 0;
    };

    /// A status that is being written.
    struct Write {
        RolloutStatus status;
        std::uint64_t number = 0;
    };

    boost::asio::awaitable<void> run();
    void step(Clock::TimePoint now);
    std::string owner(const std::string &service, Clock::TimePoint now) const;
    void sendEvidence(const RolloutTable::Order &order, const std::string &coordinator, Clock::TimePoint now);
    void forward(RolloutEvidence evidence, const std::string &coordinator, Clock::TimePoint now);
    void coordinate(const RolloutTable::Order &order, Clock::TimePoint now);
    void announce(Coordination &coordination, const RolloutTable::Order &order, Clock::TimePoint now);
    void logVerdict(Coordination &coordination, const RolloutOrder &order, const VersionVerdict &verdict, Clock::TimePoint now);
    /// Writes a status. Records of the members topic before the offset are known; zero if that isn't certain.
    void write(const RolloutStatus &status, std::uint64_t from);
    boost::asio::awaitable<void> runWrite(RolloutStatus status, std::uint64_t number, std::uint64_t from);
    void collect(const RolloutEvidence &evidence, Clock::TimePoint now);

    boost::asio::any_io_executor m_strand;
    Dependencies m_dependencies;
    StoreFactory m_storeFactory;
    std::atomic<bool> m_relay{false};
    std::atomic<bool> m_stopped{false};
    // The following are accessed only on the strand.
    std::map<std::string, Sent> m_sent; ///< By service.
    std::map<std::string, Coordination> m_coordinations; ///< By service.
    std::map<std::string, Write> m_writes; ///< By service.
    std::map<std::string, std::map<std::string, std::uint64_t>> m_seenStates; ///< Highest number, by service and coordinator.
    Clock::TimePoint m_lastStep;
    Clock::TimePoint m_coordinatesFrom; ///< Before, this daemon doesn't know whether it is the owner.
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lastState = 0;
    std::uint64_t m_lastWrite = 0;
    std::uint64_t m_knownEnd = 0; ///< End of the members topic as of the last step. What it contains has reached the table since.
};

} // namespace Guavalock

#pragma once

#include "Decisions/RandomEngine.h"
#include "Fleet/MemberRecord.h"
#include "Fleet/PeerUpdates.h"
#include "Fleet/ReaderWatch.h"
#include "Fleet/RecordSource.h"
#include "Fleet/RecordUpdate.h"
#include "Kernel/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

class CatalogueTable;
class FleetTable;
class Metrics;
class RecordCodec;
class RecordMirror;
class RecordStore;
struct RolloutOrder;
struct RolloutStatus;

/// Reads the topics of the record store and applies their records to the tables. Requests records from peers while the store is
/// unavailable.
class FleetFollower
{
public:
    struct Dependencies {
        const Clock &clock;
        RecordMirror &mirror;
        CatalogueTable &catalogue;
        FleetTable &fleet;
        const RecordCodec &codec;
        Metrics &metrics;
    };

    /// Callbacks into the rest of the daemon.
    struct Callbacks {
        /// Requests records from arbitrary peers because the store is unavailable.
        std::function<void(Topic, RecordPosition from)> requestFromPeers;
        /// Returns where this daemon obtains the records of a topic.
        std::function<RecordSource(Topic)> recordSource;
        /// Requests records from that daemon. Returns false if there is no connection to it.
        std::function<bool(const std::string &vm, Topic, RecordPosition from)> requestFromReader;
        std::function<void(const MemberRecord &)> memberUpdated;
        std::function<void(const std::string &vm)> memberRemoved;
        std::function<void(const RolloutOrder &)> rolloutOrdered; ///< Also if an order was deleted.
        /// The status of a rollout has changed, or was deleted if it is empty.
        std::function<void(const std::string &service, const std::optional<RolloutStatus> &)> rolloutStatus;
        std::function<void()> rolloutStatusesLost; ///< The store has come back from a copy, which may lack what was written last.
    };

    /// Creates a store client for use on one strand.
    using StoreFactory = std::function<std::unique_ptr<RecordStore>(boost::asio::any_io_executor strand)>;

    FleetFollower(boost::asio::any_io_executor executor, Dependencies dependencies, Callbacks callbacks, StoreFactory storeFactory);
    ~FleetFollower();

    /// Starts to read all topics and publishes this daemon's own member record.
    void start(const MemberRecord &self);

    void stop();

    /// Returns whether a catalogue and at least one target are known.
    bool ready() const;

    /// Applies records received from the peer `vm`, unless newer ones wait to be applied or they are known. Thread-safe.
    void applyFromPeer(const std::string &vm, RecordUpdate update);

private:
    struct Removal {
        RecordPosition position;
        Clock::TimePoint due;
    };

    boost::asio::awaitable<void> follow(Topic topic);
    /// Requests the topic from the daemon that reads it for others. Returns false if no sufficiently recent records arrived and the
    /// store has to be read instead.
    boost::asio::awaitable<bool> readFromPeer(Topic topic);
    boost::asio::awaitable<bool> readIncremental(RecordStore &store, Topic topic, bool &truncated);
    boost::asio::awaitable<bool> readLatest(RecordStore &store, Topic topic);
    /// Writes this daemon's own member record. In large fleets all daemons do so after a new era, so they wait for a random time first.
    boost::asio::awaitable<void> publishSelf(std::chrono::milliseconds maxDelay);
    void applyPeerUpdates();
    void setStoreAvailable(Topic topic, bool available);
    /// Applies an update to the mirror, and what is new of it to the tables.
    void applyUpdate(const RecordUpdate &update);
    /// Does what follows from a new era of the store, if it isn't the first: what this daemon has written there may be lost.
    void handleEra(Topic topic, std::uint64_t era);
    /// Applies what the store has instead of records that were held from an earlier era.
    void applyReleased(Topic topic);
    RecordPosition nextPosition(Topic topic) const;
    void apply(Topic topic, const std::vector<KeyedRecord> &records);
    void applyOperator(const KeyedRecord &record);
    void applyTarget(const KeyedRecord &record);
    void applyMember(const KeyedRecord &record);
    void applyRolloutStatus(const KeyedRecord &record);
    void removeExpired();

    boost::asio::any_io_executor m_executor;
    boost::asio::any_io_executor m_strand; ///< Serialises the application of records.
    Dependencies m_dependencies;
    Callbacks m_callbacks;
    StoreFactory m_storeFactory;
    std::array<bool, allTopics.size()> m_storeUnavailable{}; ///< By topic: whether the store is unavailable.
    std::array<std::uint64_t, allTopics.size()> m_eras{}; ///< By topic, as last applied.
    MemberRecord m_self;
    std::optional<Clock::TimePoint> m_targetsRecovered; ///< When the store last became available again for the targets topic.
    /// Deferred removals of targets whose records were missing when the store became available again.
    std::map<std::string, Removal> m_deferredRemovals;
    std::array<ReaderWatch, allTopics.size()> m_readers; ///< By topic.
    PeerUpdates m_peerUpdates; ///< Not applied yet.
    RandomEngine m_random;
    std::atomic<bool> m_stopped{false};
};

} // namespace Guavalock

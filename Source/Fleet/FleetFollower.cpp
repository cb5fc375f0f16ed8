#include "Fleet/FleetFollower.h"

#include "Decisions/Backoff.h"
#include "Decisions/Hash.h"
#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/FleetTable.h"
#include "Fleet/RecordCodec.h"
#include "Fleet/RecordMirror.h"
#include "Fleet/RecordStore.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

using Milliseconds = std::chrono::milliseconds;

/// Read parameters of one topic. Every call to the store has a cost, so reads use long polling or are spaced apart.
struct ReadParameters {
    Milliseconds wait; ///< Long-poll duration.
    Milliseconds timeout;
    Milliseconds interval; ///< Minimum interval between the starts of two reads.
    Milliseconds peerInterval; ///< Interval between requests to the daemon that reads for others.
    Milliseconds maxPeerAge; ///< For each daemon on the way. If the records are older, the store is read directly.
};

/// Indexed by Topic.
///
/// Operator: the long poll is short, so that a dead connection is detected early and the records passed on to peers are recent.
/// Targets: targets write continuously, so a long poll returns at once and only the interval limits the read rate. It is a quarter of
/// the time within which a target that leaves must stop receiving work.
/// Members: daemons learn about each other through their links; the records serve daemons that have no link yet.
constexpr std::array readParameters{
    ReadParameters{Milliseconds(700), Milliseconds(1'700), Milliseconds(50), Milliseconds(500), Milliseconds(1'200)},
    ReadParameters{Milliseconds(1'000), Milliseconds(1'800), Milliseconds(500), Milliseconds(500), Milliseconds(1'200)},
    ReadParameters{Milliseconds(2'000), Milliseconds(3'000), Milliseconds(2'000), Milliseconds(2'000), Milliseconds(6'000)}};

const ReadParameters &readParametersOf(Topic topic)
{
    return readParameters.at(static_cast<std::size_t>(topic));
}

constexpr Milliseconds peerReplyTimeout{150}; ///< For the reply of the reading daemon, which takes one round trip.
constexpr Milliseconds callTimeout{1'500}; ///< For calls that the store answers immediately.
constexpr Milliseconds initialRetryDelay{150}; ///< Initial retry delay while the store is unavailable.
constexpr Milliseconds maxRetryDelay{700}; ///< Maximum retry delay; short compared with the time within which changes must take effect.
constexpr Milliseconds maxPublishDelay{1'000}; ///< Spreads the writes of all daemons. Their links don't depend on the records.
constexpr Milliseconds recoveryTime{2'000}; ///< Time after an outage of the store by which live targets have renewed their records.

/// Warns of routes that no request can select, in one line however many there are.
void logUnreachableRoutes(const Catalogue &catalogue)
{
    constexpr std::size_t maxDescribed = 5;
    std::vector<std::string> routes = catalogue.describeUnreachableRoutes();
    if (routes.empty()) {
        return;
    }
    const std::size_t count = routes.size();
    routes.resize(std::min(count, maxDescribed));
    Log::warning("fleet", "routes-unreachable",
                 {{"version", std::to_string(catalogue.version())},
                  {"count", std::to_string(count)},
                  {"routes", boost::algorithm::join(routes, "; ")}});
}

} // namespace

FleetFollower::FleetFollower(Asio::any_io_executor executor, Dependencies dependencies, Callbacks callbacks, StoreFactory storeFactory)
    : m_executor(std::move(executor))
    , m_strand(Asio::make_strand(m_executor))
    , m_dependencies(dependencies)
    , m_callbacks(std::move(callbacks))
    , m_storeFactory(std::move(storeFactory))
{
}

FleetFollower::~FleetFollower() = default;

void FleetFollower::start(const MemberRecord &self)
{
    m_random.seed(Hash::of(self.incarnation));
    m_self = self;
    for (const Topic it : allTopics) {
        Asio::co_spawn(m_strand, follow(it), Asio::detached);
    }
    Asio::co_spawn(m_strand, publishSelf(Milliseconds(0)), Asio::detached);
}

void FleetFollower::stop()
{
    m_stopped = true;
}

bool FleetFollower::ready() const
{
    return m_dependencies.catalogue.current() != nullptr && m_dependencies.fleet.size() > 0;
}

void FleetFollower::setStoreAvailable(Topic topic, bool available)
{
    bool &unavailable = m_storeUnavailable.at(static_cast<std::size_t>(topic));
    if (unavailable != available) {
        return;
    }
    unavailable = !available;
    if (available && topic == Topic::Targets) {
        m_targetsRecovered = m_dependencies.clock.now();
    }
    if (available) {
        Log::info("fleet", "store-regained", {{"topic", topicName(topic)}});
    } else {
        const std::uint64_t next = m_dependencies.mirror.progress(topic).next;
        Log::warning("fleet", "store-lost", {{"topic", topicName(topic)}, {"next_offset", std::to_string(next)}});
    }
}

Asio::awaitable<void> FleetFollower::follow(Topic topic)
{
    const std::unique_ptr<RecordStore> store = m_storeFactory(m_strand);
    const ReadParameters &parameters = readParametersOf(topic);
    Backoff backoff(initialRetryDelay, maxRetryDelay);
    Asio::steady_timer timer(m_strand);
    bool truncated = false;
    while (!m_stopped) {
        const Clock::TimePoint start = m_dependencies.clock.now();
        const bool fromPeer = co_await readFromPeer(topic);
        applyReleased(topic);
        if (topic == Topic::Targets) {
            removeExpired();
        }
        if (fromPeer) {
            setStoreAvailable(topic, true); // The store answers the daemon that reads it.
            timer.expires_at(start + parameters.peerInterval);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
            continue;
        }
        const bool resync = truncated || m_dependencies.mirror.progress(topic).next == 0;
        const bool read = resync ? co_await readLatest(*store, topic) : co_await readIncremental(*store, topic, truncated);
        if (read && resync) {
            truncated = false;
        }
        setStoreAvailable(topic, read);
        if (read) {
            backoff.reset();
            timer.expires_at(start + parameters.interval);
        } else {
            m_dependencies.metrics.counter(std::string("store_failures_total{topic=\"") + topicName(topic) + "\"}").add();
            m_callbacks.requestFromPeers(topic, nextPosition(topic));
            timer.expires_after(backoff.next(m_random));
        }
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

Asio::awaitable<bool> FleetFollower::readLatest(RecordStore &store, Topic topic)
{
    const auto newest = co_await store.readLatest(topic, callTimeout);
    if (!newest) {
        co_return false;
    }
    Log::info(
        "fleet", "records-read",
        {{"topic", topicName(topic)}, {"records", std::to_string(newest->records.size())}, {"next_offset", std::to_string(newest->next)}});
    applyUpdate({topic, newest->records, newest->next, m_dependencies.clock.now(), true, newest->era, {}});
    co_return m_dependencies.mirror.progress(topic).era == newest->era;
}

Asio::awaitable<bool> FleetFollower::readIncremental(RecordStore &store, Topic topic, bool &truncated)
{
    const ReadParameters &parameters = readParametersOf(topic);
    const std::uint64_t from = m_dependencies.mirror.progress(topic).next;
    const RecordStore::ReadResult read = co_await store.read(topic, from, parameters.wait, parameters.timeout);
    if (read.status == RecordStore::ReadStatus::Truncated) {
        Log::info("fleet", "records-truncated", {{"topic", topicName(topic)}, {"from", std::to_string(from)}});
        truncated = true;
        co_return true;
    }
    if (read.status == RecordStore::ReadStatus::Failed) {
        co_return false;
    }
    // The offset from which the topic was read means something else in another era.
    truncated = read.era != m_dependencies.mirror.progress(topic).era;
    if (!truncated) {
        applyUpdate({topic, read.records, read.next, m_dependencies.clock.now(), false, read.era, {}});
    }
    co_return true;
}

void FleetFollower::applyUpdate(const RecordUpdate &update)
{
    const std::vector<KeyedRecord> newer = m_dependencies.mirror.apply(update);
    if (newer.size() < update.records.size()) {
        Log::info("fleet", "records-known",
                  {{"topic", topicName(update.topic)},
                   {"records", std::to_string(update.records.size() - newer.size())},
                   {"next_offset", std::to_string(update.next)}});
    }
    handleEra(update.topic, m_dependencies.mirror.progress(update.topic).era);
    apply(update.topic, newer);
}

void FleetFollower::handleEra(Topic topic, std::uint64_t era)
{
    const std::uint64_t before = std::exchange(m_eras.at(static_cast<std::size_t>(topic)), era);
    if (era == before || before == 0) {
        return;
    }
    const std::map<std::string, Clock::TimePoint> held = m_dependencies.mirror.heldKeys(topic);
    Log::warning("fleet", "store-era",
                 {{"topic", topicName(topic)},
                  {"era", std::to_string(era)},
                  {"before", std::to_string(before)},
                  {"held", std::to_string(held.size())}});
    if (topic == Topic::Targets) {
        for (const auto &[key, until] : held) {
            m_dependencies.fleet.markMissing(key, until);
        }
    }
    if (topic == Topic::Members) {
        if (m_callbacks.rolloutStatusesLost) {
            m_callbacks.rolloutStatusesLost();
        }
        Asio::co_spawn(m_strand, publishSelf(maxPublishDelay), Asio::detached);
    }
}

void FleetFollower::applyReleased(Topic topic)
{
    const std::vector<KeyedRecord> released = m_dependencies.mirror.releaseHeld(topic, m_dependencies.clock.now());
    for (const KeyedRecord &it : released) {
        Log::info("fleet", "record-released", {{"topic", topicName(topic)}, {"key", it.key}, {"offset", std::to_string(it.offset)}});
    }
    apply(topic, released);
}

RecordPosition FleetFollower::nextPosition(Topic topic) const
{
    const RecordMirror::Progress progress = m_dependencies.mirror.progress(topic);
    return {progress.era, progress.next};
}

void FleetFollower::applyFromPeer(const std::string &vm, RecordUpdate update)
{
    Asio::post(m_strand, [this, vm, topic = update.topic] { m_readers.at(static_cast<std::size_t>(topic)).receive(vm); });
    if (m_peerUpdates.add(std::move(update))) {
        Asio::post(m_strand, [this] { applyPeerUpdates(); });
    }
}

void FleetFollower::applyPeerUpdates()
{
    for (const RecordUpdate &it : m_peerUpdates.take()) {
        // A complete update is merged with all records of the topic, which is needless if it ends where this daemon's copy does.
        if (!m_dependencies.mirror.confirm(it)) {
            applyUpdate(it);
        }
    }
}

Asio::awaitable<bool> FleetFollower::readFromPeer(Topic topic)
{
    const RecordSource source = m_callbacks.recordSource(topic);
    if (source.vm.empty() || !m_callbacks.requestFromReader(source.vm, topic, nextPosition(topic))) {
        co_return false;
    }
    const ReaderWatch::Action action = m_readers.at(static_cast<std::size_t>(topic)).request(source.vm);
    if (action != ReaderWatch::Action::Ask) {
        m_callbacks.requestFromPeers(topic, nextPosition(topic));
    }
    if (action == ReaderWatch::Action::ReadStore) {
        co_return false;
    }
    Asio::steady_timer timer(m_strand, peerReplyTimeout);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    const Milliseconds maxAge = source.hops * readParametersOf(topic).maxPeerAge;
    co_return m_dependencies.mirror.progress(topic).confirmed > m_dependencies.clock.now() - maxAge;
}

void FleetFollower::apply(Topic topic, const std::vector<KeyedRecord> &records)
{
    using Apply = void (FleetFollower::*)(const KeyedRecord &);
    static constexpr std::array<Apply, allTopics.size()> appliers{&FleetFollower::applyOperator, &FleetFollower::applyTarget,
                                                                  &FleetFollower::applyMember};
    for (const KeyedRecord &it : records) {
        (this->*appliers.at(static_cast<std::size_t>(topic)))(it);
    }
}

void FleetFollower::applyOperator(const KeyedRecord &record)
{
    Reason reason;
    const std::optional<OperatorChange> change = m_dependencies.codec.operatorChange(record.key, record.value, reason);
    if (!change) {
        Log::warning("fleet", "operator-record-ignored", {{"key", record.key}, {"reason", reason.text}});
        return;
    }
    if (const auto *catalogue = std::get_if<std::shared_ptr<const Catalogue>>(&*change)) {
        if (m_dependencies.catalogue.replaceIfNewer(*catalogue)) {
            Log::info("fleet", "configuration",
                      {{"version", std::to_string((*catalogue)->version())},
                       {"offset", std::to_string(record.offset)},
                       {"api_keys", (*catalogue)->requiresApiKey() ? "required" : "none"}});
            logUnreachableRoutes(**catalogue);
        }
        return;
    }
    if (const auto *order = std::get_if<RolloutOrder>(&*change)) {
        if (m_callbacks.rolloutOrdered) {
            m_callbacks.rolloutOrdered(*order);
        }
        return;
    }
    const auto &evacuation = std::get<EvacuationChange>(*change);
    m_dependencies.fleet.setEvacuated(evacuation.dataCentre, evacuation.evacuated, m_dependencies.clock.now());
    Log::info("fleet", evacuation.evacuated ? "evacuated" : "evacuation-ended", {{"data_centre", evacuation.dataCentre}});
}

void FleetFollower::applyTarget(const KeyedRecord &record)
{
    const Clock::TimePoint now = m_dependencies.clock.now();
    if (!record.value) {
        if (m_targetsRecovered && now < *m_targetsRecovered + recoveryTime) {
            m_deferredRemovals[record.key] = {record.position(), *m_targetsRecovered + recoveryTime};
            m_dependencies.fleet.markMissing(record.key, *m_targetsRecovered + recoveryTime);
            Log::info("fleet", "target-missing", {{"target", record.key}, {"offset", std::to_string(record.offset)}});
        } else if (m_dependencies.fleet.remove(record.key, record.position())) {
            Log::info("fleet", "target-gone", {{"target", record.key}, {"offset", std::to_string(record.offset)}});
        }
        return;
    }
    m_deferredRemovals.erase(record.key);
    Reason reason;
    const std::optional<TargetRecord> target = m_dependencies.codec.target(record.key, *record.value, reason);
    if (!target) {
        if (m_dependencies.fleet.remove(record.key, record.position())) {
            Log::warning("fleet", "target-record-invalid", {{"target", record.key}, {"reason", reason.text}});
        }
        return;
    }
    if (m_dependencies.fleet.update(*target, record.position(), now)) {
        Log::info("fleet", target->draining ? "target-draining" : "target",
                  {{"target", target->id},
                   {"service", target->service},
                   {"address", target->address.text()},
                   {"data_centre", target->dataCentre},
                   {"offset", std::to_string(record.offset)}});
    }
}

void FleetFollower::removeExpired()
{
    const Clock::TimePoint now = m_dependencies.clock.now();
    for (auto it = m_deferredRemovals.begin(); it != m_deferredRemovals.end();) {
        if (it->second.due > now) {
            ++it;
            continue;
        }
        if (m_dependencies.fleet.remove(it->first, it->second.position)) {
            Log::info("fleet", "target-gone", {{"target", it->first}, {"offset", std::to_string(it->second.position.offset)}});
        }
        it = m_deferredRemovals.erase(it);
    }
}

void FleetFollower::applyRolloutStatus(const KeyedRecord &record)
{
    Reason reason;
    std::optional<RolloutStatus> status;
    if (record.value) {
        status = m_dependencies.codec.rolloutStatus(record.key, *record.value, reason);
        if (!status) {
            Log::warning("fleet", "rollout-status-ignored", {{"key", record.key}, {"reason", reason.text}});
            return;
        }
    }
    if (m_callbacks.rolloutStatus) {
        m_callbacks.rolloutStatus(m_dependencies.codec.rolloutService(record.key), status);
    }
}

void FleetFollower::applyMember(const KeyedRecord &record)
{
    if (m_dependencies.codec.isRolloutKey(record.key)) {
        applyRolloutStatus(record);
        return;
    }
    if (!record.value) {
        m_callbacks.memberRemoved(record.key);
        return;
    }
    Reason reason;
    const std::optional<MemberRecord> member = m_dependencies.codec.member(record.key, *record.value, reason);
    if (member) {
        m_callbacks.memberUpdated(*member);
    } else {
        Log::warning("fleet", "member-record-ignored", {{"key", record.key}, {"reason", reason.text}});
    }
}

Asio::awaitable<void> FleetFollower::publishSelf(Milliseconds maxDelay)
{
    const std::unique_ptr<RecordStore> store = m_storeFactory(m_strand);
    const std::string text = m_dependencies.codec.memberText(m_self);
    Backoff backoff(initialRetryDelay, maxRetryDelay);
    Asio::steady_timer timer(m_strand, maxDelay * static_cast<int>(m_random() % 100) / 100);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    while (!m_stopped) {
        const RecordStore::PutStatus end = co_await store->put(Topic::Members, m_self.vm, text, callTimeout);
        if (end == RecordStore::PutStatus::Written) {
            co_return;
        }
        timer.expires_after(backoff.next(m_random));
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

} // namespace Guavalock

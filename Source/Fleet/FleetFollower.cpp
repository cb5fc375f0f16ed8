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

using Milliseconds = std::chrono::milliseconds;

/// How one topic is read. Every call to the store is priced, so reads wait for records or keep a distance.
struct ReadTerms {
    Milliseconds wait; ///< For a record to come.
    Milliseconds timeout;
    Milliseconds distance; ///< From one read's beginning to the next.
    Milliseconds peerDistance; ///< From one question to the daemon that reads for others to the next.
    Milliseconds peerFreshness; ///< Older records of that daemon are not relied on; the store is read instead.
};

/// In the order of Topic. Targets write all the time, so only the distance limits those reads; it is a quarter of the time within
/// which a leaving target has to get no more work. A read of the operator's records is short, so that a silent connection shows and
/// those who ask have fresh records. Daemons learn of each other by their links; their records are for those without any.
constexpr std::array readTerms{
    ReadTerms{Milliseconds(700), Milliseconds(1'700), Milliseconds(50), Milliseconds(500), Milliseconds(1'200)},
    ReadTerms{Milliseconds(1'000), Milliseconds(1'800), Milliseconds(500), Milliseconds(500), Milliseconds(1'200)},
    ReadTerms{Milliseconds(2'000), Milliseconds(3'000), Milliseconds(2'000), Milliseconds(2'000), Milliseconds(6'000)}};

const ReadTerms &readTermsOf(Topic topic)
{
    return readTerms.at(static_cast<std::size_t>(topic));
}

constexpr Milliseconds peerTimeout{150}; ///< For its answer, which takes a round trip.
constexpr Milliseconds callTimeout{1'500}; ///< For calls that the store answers at once.
constexpr Milliseconds firstPause{150}; ///< Between tries while the store does not answer.
constexpr Milliseconds longestPause{700}; ///< Short against the time in which changes have to be in force.
constexpr Milliseconds returnTime{2'000}; ///< After the store's return, by when live targets have their records back.

} // namespace

FleetFollower::FleetFollower(Asio::any_io_executor executor, Parts parts, Events events, MakeStore makeStore)
    : m_executor(std::move(executor))
    , m_strand(Asio::make_strand(m_executor))
    , m_parts(parts)
    , m_events(std::move(events))
    , m_makeStore(std::move(makeStore))
{
}

FleetFollower::~FleetFollower() = default;

void FleetFollower::start(const MemberRecord &self)
{
    m_random.seed(Hash::of(self.incarnation));
    for (const Topic it : allTopics) {
        Asio::co_spawn(m_strand, follow(it), Asio::detached);
    }
    Asio::co_spawn(m_strand, writeSelf(self), Asio::detached);
}

void FleetFollower::stop()
{
    m_stopped = true;
}

bool FleetFollower::ready() const
{
    return m_parts.catalogue.current() != nullptr && m_parts.fleet.size() > 0;
}

void FleetFollower::noteStore(Topic topic, bool answers)
{
    bool &away = m_away.at(static_cast<std::size_t>(topic));
    if (away != answers) {
        return;
    }
    away = !answers;
    if (answers && topic == Topic::Targets) {
        m_targetsBack = m_parts.clock.now();
    }
    if (answers) {
        Log::state("fleet", "store-regained", {{"topic", topicName(topic)}});
    } else {
        const std::uint64_t next = m_parts.mirror.progress(topic).next;
        Log::warning("fleet", "store-lost", {{"topic", topicName(topic)}, {"next_offset", std::to_string(next)}});
    }
}

Asio::awaitable<void> FleetFollower::follow(Topic topic)
{
    const std::unique_ptr<RecordStore> store = m_makeStore(m_strand);
    const ReadTerms &terms = readTermsOf(topic);
    Backoff backoff(firstPause, longestPause);
    Asio::steady_timer timer(m_strand);
    bool forgotten = false;
    while (!m_stopped) {
        const Clock::TimePoint start = m_parts.clock.now();
        const bool fromPeer = co_await readFromPeer(topic);
        if (topic == Topic::Targets) {
            removeDue();
        }
        if (fromPeer) {
            noteStore(topic, true); // It answers the reader.
            timer.expires_at(start + terms.peerDistance);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
            continue;
        }
        const bool fresh = forgotten || m_parts.mirror.progress(topic).next == 0;
        const bool read = fresh ? co_await readNewest(*store, topic) : co_await readOn(*store, topic, forgotten);
        if (read && fresh) {
            forgotten = false;
        }
        noteStore(topic, read);
        if (read) {
            backoff.reset();
            timer.expires_at(start + terms.distance);
        } else {
            m_parts.metrics.counter(std::string("store_failures_total{topic=\"") + topicName(topic) + "\"}").add();
            m_events.askPeers(topic, m_parts.mirror.progress(topic).next);
            timer.expires_after(backoff.next(m_random));
        }
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

Asio::awaitable<bool> FleetFollower::readNewest(RecordStore &store, Topic topic)
{
    const auto newest = co_await store.newest(topic, callTimeout);
    if (!newest) {
        co_return false;
    }
    apply(topic, m_parts.mirror.apply({topic, newest->records, newest->next, m_parts.clock.now(), true}));
    co_return true;
}

Asio::awaitable<bool> FleetFollower::readOn(RecordStore &store, Topic topic, bool &forgotten)
{
    const ReadTerms &terms = readTermsOf(topic);
    const std::uint64_t from = m_parts.mirror.progress(topic).next;
    const RecordStore::Read read = co_await store.read(topic, from, terms.wait, terms.timeout);
    if (read.end == RecordStore::ReadEnd::Forgotten) {
        forgotten = true;
        co_return true;
    }
    if (read.end == RecordStore::ReadEnd::Failed) {
        co_return false;
    }
    apply(topic, m_parts.mirror.apply({topic, read.records, read.next, m_parts.clock.now(), false}));
    co_return true;
}

void FleetFollower::takeFromPeer(const RecordUpdate &update)
{
    Asio::post(m_strand, [this, update] { apply(update.topic, m_parts.mirror.apply(update)); });
}

Asio::awaitable<bool> FleetFollower::readFromPeer(Topic topic)
{
    const std::string reader = m_events.reader(topic);
    if (reader.empty() || !m_events.askReader(reader, topic, m_parts.mirror.progress(topic).next)) {
        co_return false;
    }
    Asio::steady_timer timer(m_strand, peerTimeout);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    co_return m_parts.mirror.progress(topic).confirmed > m_parts.clock.now() - readTermsOf(topic).peerFreshness;
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
    const std::optional<OperatorChange> change = m_parts.codec.operatorChange(record.key, record.value, reason);
    if (!change) {
        Log::warning("fleet", "operator-record-ignored", {{"key", record.key}, {"reason", reason.text}});
        return;
    }
    if (const auto *catalogue = std::get_if<std::shared_ptr<const Catalogue>>(&*change)) {
        if (m_parts.catalogue.adopt(*catalogue)) {
            Log::state("fleet", "configuration",
                       {{"version", std::to_string((*catalogue)->version())}, {"offset", std::to_string(record.offset)}});
        }
        return;
    }
    const auto &evacuation = std::get<EvacuationChange>(*change);
    m_parts.fleet.setEvacuated(evacuation.dataCentre, evacuation.evacuated, m_parts.clock.now());
    Log::state("fleet", evacuation.evacuated ? "evacuated" : "evacuation-ended", {{"data_centre", evacuation.dataCentre}});
}

void FleetFollower::applyTarget(const KeyedRecord &record)
{
    const Clock::TimePoint now = m_parts.clock.now();
    if (!record.value) {
        if (m_targetsBack && now < *m_targetsBack + returnTime) {
            m_removals[record.key] = {record.offset, *m_targetsBack + returnTime};
            m_parts.fleet.miss(record.key, *m_targetsBack + returnTime);
            Log::state("fleet", "target-missing", {{"target", record.key}, {"offset", std::to_string(record.offset)}});
        } else if (m_parts.fleet.remove(record.key, record.offset)) {
            Log::state("fleet", "target-gone", {{"target", record.key}, {"offset", std::to_string(record.offset)}});
        }
        return;
    }
    m_removals.erase(record.key);
    Reason reason;
    const std::optional<TargetRecord> target = m_parts.codec.target(record.key, *record.value, reason);
    if (!target) {
        if (m_parts.fleet.remove(record.key, record.offset)) {
            Log::warning("fleet", "target-record-invalid", {{"target", record.key}, {"reason", reason.text}});
        }
        return;
    }
    if (m_parts.fleet.renew(*target, record.offset, now)) {
        Log::state("fleet", target->draining ? "target-draining" : "target",
                   {{"target", target->id},
                    {"service", target->service},
                    {"address", target->address.text()},
                    {"data_centre", target->dataCentre},
                    {"offset", std::to_string(record.offset)}});
    }
}

void FleetFollower::removeDue()
{
    const Clock::TimePoint now = m_parts.clock.now();
    for (auto it = m_removals.begin(); it != m_removals.end();) {
        if (it->second.due > now) {
            ++it;
            continue;
        }
        if (m_parts.fleet.remove(it->first, it->second.offset)) {
            Log::state("fleet", "target-gone", {{"target", it->first}, {"offset", std::to_string(it->second.offset)}});
        }
        it = m_removals.erase(it);
    }
}

void FleetFollower::applyMember(const KeyedRecord &record)
{
    if (!record.value) {
        m_events.memberLeft(record.key);
        return;
    }
    Reason reason;
    const std::optional<MemberRecord> member = m_parts.codec.member(record.key, *record.value, reason);
    if (member) {
        m_events.member(*member);
    } else {
        Log::warning("fleet", "member-record-ignored", {{"key", record.key}, {"reason", reason.text}});
    }
}

Asio::awaitable<void> FleetFollower::writeSelf(MemberRecord self)
{
    const std::unique_ptr<RecordStore> store = m_makeStore(m_strand);
    const std::string text = m_parts.codec.memberText(self);
    Backoff backoff(firstPause, longestPause);
    Asio::steady_timer timer(m_strand);
    while (!m_stopped) {
        const RecordStore::PutEnd end = co_await store->put(Topic::Members, self.vm, text, callTimeout);
        if (end == RecordStore::PutEnd::Written) {
            co_return;
        }
        timer.expires_after(backoff.next(m_random));
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

} // namespace Guavalock

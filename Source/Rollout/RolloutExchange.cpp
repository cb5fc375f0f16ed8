#include "Rollout/RolloutExchange.h"

#include "Decisions/Hash.h"
#include "Fleet/FleetMembership.h"
#include "Fleet/FleetTable.h"
#include "Fleet/RecordMirror.h"
#include "Fleet/RecordStore.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Rollout/RolloutTransport.h"
#include "Rollout/StatusWriter.h"
#include "Rollout/VersionComparison.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds stepInterval{250}; ///< Of evidence and decisions.
constexpr std::chrono::seconds evidenceInterval{1}; ///< Of evidence that has not changed, so that the coordinator knows it is current.
constexpr std::chrono::milliseconds stateInterval{500}; ///< A third of the time for which a share is used.
/// Of the state of an order that has ended, for daemons that start later and read the order before the status.
constexpr std::chrono::seconds finalStateInterval{2};
/// Time after the start until the other daemons are known. Until then each daemon takes itself for the owner of all tasks.
constexpr std::chrono::seconds discoveryTime{3};
/// After a step that is late by more than this, as after a suspension, another daemon may have decided in the meantime.
constexpr std::chrono::seconds maxStepDelay{1};
constexpr std::size_t maxSeenCoordinators
    = 64; ///< Of a service; beyond it, the numbers are forgotten and a message may be passed on twice.
constexpr std::size_t maxForwarders = 3; ///< Linked daemons that pass evidence on while the coordinator isn't linked.

constexpr std::array<const char *, 4> phaseNames{"observing", "moving", "completed", "rolled_back"};
constexpr std::array<const char *, 3> verdictNames{"not-enough-seen", "sound", "bad"};

const char *nameOf(RolloutState::Phase phase)
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

} // namespace

RolloutExchange::RolloutExchange(const Asio::any_io_executor &executor, Dependencies dependencies, StoreFactory storeFactory)
    : m_strand(Asio::make_strand(executor))
    , m_dependencies(dependencies)
    , m_storeFactory(std::move(storeFactory))
{
}

RolloutExchange::~RolloutExchange() = default;

void RolloutExchange::start()
{
    Asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run(); }, Asio::detached);
}

void RolloutExchange::stop()
{
    m_stopped = true;
}

void RolloutExchange::setRelay(bool relay)
{
    m_relay = relay;
}

std::string RolloutExchange::owner(const std::string &service, Clock::TimePoint now) const
{
    return m_dependencies.membership.owner("rollout " + service, now);
}

std::set<std::string> RolloutExchange::coordinators(Clock::TimePoint now) const
{
    std::set<std::string> found;
    for (const RolloutTable::Order &it : m_dependencies.rollouts.orders()) {
        const bool ended = it.status && it.status->version == it.order.version && it.status->isFinal();
        if (!ended) {
            found.insert(owner(it.order.service, now));
        }
    }
    return found;
}

void RolloutExchange::receive(const RolloutEvidence &evidence)
{
    Asio::post(m_strand, [self = shared_from_this(), evidence] {
        const Clock::TimePoint now = self->m_dependencies.clock.now();
        const std::string coordinator = self->owner(evidence.service, now);
        if (coordinator == self->m_dependencies.membership.self().vm) {
            self->collect(evidence, now);
        } else if (!evidence.forwarded) {
            RolloutEvidence forwarded = evidence;
            forwarded.forwarded = true;
            self->m_dependencies.transport.sendRolloutEvidence(coordinator, forwarded);
        }
    });
}

void RolloutExchange::receive(const RolloutState &state)
{
    Asio::post(m_strand, [self = shared_from_this(), state] {
        if (state.coordinator == self->m_dependencies.membership.self().incarnation) {
            return;
        }
        std::map<std::string, std::uint64_t> &seen = self->m_seenStates[state.service];
        if (seen.size() > maxSeenCoordinators) {
            seen.clear();
        }
        std::uint64_t &number = seen[state.coordinator];
        if (state.number <= number) {
            return;
        }
        number = state.number;
        self->m_dependencies.rollouts.applyState(state, self->m_dependencies.clock.now());
        if (self->m_relay) {
            self->m_dependencies.transport.broadcastRolloutState(state);
        }
    });
}

Asio::awaitable<void> RolloutExchange::run()
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_strand);
    m_lastStep = m_dependencies.clock.now();
    m_coordinatesFrom = m_lastStep + discoveryTime;
    while (!m_stopped) {
        step(m_dependencies.clock.now());
        timer.expires_after(stepInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

void RolloutExchange::step(Clock::TimePoint now)
{
    const std::string &self = m_dependencies.membership.self().vm;
    if (now - std::exchange(m_lastStep, now) > stepInterval + maxStepDelay) {
        m_coordinations.clear();
        m_writes.clear();
        m_coordinatesFrom = std::max(m_coordinatesFrom, now + stepInterval);
    }
    std::set<std::string> services;
    for (const RolloutTable::Order &it : m_dependencies.rollouts.orders()) {
        services.insert(it.order.service);
        const std::string coordinator = owner(it.order.service, now);
        if (!it.order.version.empty()) {
            sendEvidence(it, coordinator, now);
        }
        if (coordinator == self && now >= m_coordinatesFrom) {
            coordinate(it, now);
        } else {
            m_coordinations.erase(it.order.service);
            m_writes.erase(it.order.service);
        }
    }
    const auto isGone = [&](const auto &it) {
        return !services.contains(it.first);
    };
    std::erase_if(m_coordinations, isGone);
    std::erase_if(m_writes, isGone);
    std::erase_if(m_sent, isGone);
    m_knownEnd = m_dependencies.mirror.progress(Topic::Members).next;
}

void RolloutExchange::sendEvidence(const RolloutTable::Order &order, const std::string &coordinator, Clock::TimePoint now)
{
    const bool ended = order.status && order.status->version == order.order.version && order.status->isFinal();
    if (ended) {
        return;
    }
    RolloutEvidence evidence = m_dependencies.rollouts.evidence(order.order.service, now);
    const MemberRecord &self = m_dependencies.membership.self();
    evidence.vm = self.vm;
    evidence.incarnation = self.incarnation;
    Sent &sent = m_sent[order.order.service];
    if (sent.coordinator == coordinator && sent.evidence == evidence && now - sent.time < evidenceInterval) {
        return;
    }
    sent = {coordinator, evidence, now};
    evidence.sequence = ++m_lastSequence;
    if (coordinator == self.vm) {
        collect(evidence, now);
    } else if (!m_dependencies.transport.sendRolloutEvidence(coordinator, evidence)) {
        forward(std::move(evidence), coordinator, now);
    }
}

void RolloutExchange::forward(RolloutEvidence evidence, const std::string &coordinator, Clock::TimePoint now)
{
    std::size_t sent = 0;
    for (const MemberRecord &it : m_dependencies.membership.plannedLinks(now)) {
        const bool isSent = it.vm != coordinator && m_dependencies.transport.sendRolloutEvidence(it.vm, evidence);
        sent += isSent ? 1 : 0;
        if (sent == maxForwarders) {
            return;
        }
    }
}

void RolloutExchange::collect(const RolloutEvidence &evidence, Clock::TimePoint now)
{
    m_dependencies.rollouts.learnStart(evidence.service, evidence.version, evidence.orderStart);
    const auto it = m_coordinations.find(evidence.service);
    if (it != m_coordinations.end() && it->second.version == evidence.version) {
        it->second.evidence.add(evidence, now);
    }
}

void RolloutExchange::coordinate(const RolloutTable::Order &order, Clock::TimePoint now)
{
    const std::string &service = order.order.service;
    if (order.isStatusLost && order.status->isFinal()) {
        write(*order.status, 0);
    }
    if (order.order.version.empty()) {
        m_coordinations.erase(service);
        if (order.status->isFinal()) {
            return;
        }
        write({service, RolloutStatus::State::RolledBack, order.status->version}, m_knownEnd);
        return;
    }
    auto it = m_coordinations.find(service);
    if (it == m_coordinations.end() || it->second.version != order.order.version) {
        if (it != m_coordinations.end()) {
            m_coordinations.erase(it);
        }
        it = m_coordinations.emplace(service, Coordination(order.order)).first;
        m_dependencies.metrics.counter("rollout_coordinations_total{service=\"" + service + "\"}").add();
        Log::info("rollout", "coordinating", {{"service", service}, {"to", order.order.version}});
    }
    Coordination &coordination = it->second;
    coordination.decision.setOrder(order.order);
    coordination.evidence.advance(now);
    const CountsByRoute period = coordination.evidence.period();
    RolloutCoordinator::Input input;
    coordination.badResponses = VersionComparison::badResponses(period);
    input.verdict = coordination.confirmation.confirm(VersionComparison::judge(period, coordination.evidence.recent()),
                                                      coordination.badResponses, now);
    input.inProgressOther = coordination.evidence.inProgressOther(now);
    input.newSlots = m_dependencies.fleet.versionCapacity(service, order.order.version, now).slots;
    input.status = order.status;
    input.confirmedShare = m_dependencies.rollouts.confirmedShare(service, now);
    input.isWithdrawn = order.isWithdrawn;
    logVerdict(coordination, order.order, input.verdict, now);
    coordination.decision.step(input, order.start, now);
    announce(coordination, order, now);
    const bool isLost = order.isStatusLost && !order.status->isFinal();
    if (const auto status = coordination.decision.statusToWrite(isLost ? std::nullopt : order.status, now)) {
        write(*status, m_knownEnd);
    }
}

void RolloutExchange::logVerdict(Coordination &coordination, const RolloutOrder &order, const VersionVerdict &verdict, Clock::TimePoint now)
{
    if (verdict.kind == coordination.verdict) {
        return;
    }
    coordination.verdict = verdict.kind;
    const char *name = verdictNames.at(static_cast<std::size_t>(verdict.kind));
    m_dependencies.metrics.counter("rollout_verdicts_total{service=\"" + order.service + "\",verdict=\"" + name + "\"}").add();
    Log::info("rollout", "verdict",
              {{"service", order.service},
               {"to", order.version},
               {"verdict", name},
               {"reason", verdict.reason},
               {"bad_responses", std::to_string(coordination.badResponses)},
               {"daemons", std::to_string(coordination.evidence.daemons(now))}});
}

void RolloutExchange::announce(Coordination &coordination, const RolloutTable::Order &order, Clock::TimePoint now)
{
    RolloutState state = coordination.state;
    state.service = order.order.service;
    state.version = order.order.version;
    state.coordinator = m_dependencies.membership.self().incarnation;
    state.phase = coordination.decision.phase();
    state.share = coordination.decision.share();
    state.orderStart = order.start;
    const bool hasChanged
        = state.phase != coordination.state.phase || state.share != coordination.state.share || coordination.state.service.empty();
    const bool isFinal = state.phase == RolloutState::Phase::Completed || state.phase == RolloutState::Phase::RolledBack;
    const Clock::Duration interval = isFinal ? Clock::Duration(finalStateInterval) : Clock::Duration(stateInterval);
    if (!hasChanged && now - coordination.stateSent < interval) {
        return;
    }
    state.number = ++m_lastState;
    coordination.state = state;
    coordination.stateSent = now;
    if (hasChanged) {
        Log::info("rollout", "state",
                  {{"service", state.service},
                   {"to", state.version},
                   {"state", nameOf(state.phase)},
                   {"share", std::to_string(state.share)},
                   {"reason", coordination.decision.reason()},
                   {"in_progress_other", std::to_string(coordination.evidence.inProgressOther(now))},
                   {"in_progress_new", std::to_string(coordination.evidence.inProgressNew(now))}});
    }
    m_dependencies.rollouts.applyState(state, now);
    m_dependencies.transport.broadcastRolloutState(state);
}

void RolloutExchange::write(const RolloutStatus &status, std::uint64_t from)
{
    Write &write = m_writes[status.service];
    if (write.number != 0 && write.status == status) {
        return;
    }
    write = {status, ++m_lastWrite};
    Asio::co_spawn(m_strand, runWrite(status, write.number, from), Asio::detached);
}

Asio::awaitable<void> RolloutExchange::runWrite(RolloutStatus status, std::uint64_t number, std::uint64_t from)
{
    const auto self = shared_from_this();
    const auto isWanted = [this, &status, number] {
        const auto it = m_writes.find(status.service);
        return !m_stopped && it != m_writes.end() && it->second.number == number;
    };
    StatusWriter writer(m_strand, m_storeFactory(m_strand), m_dependencies.codec, Hash::of(status.service, number));
    const std::optional<RolloutStatus> written = co_await writer.write(status, from, isWanted);
    if (!written) {
        co_return;
    }
    Log::info("rollout", "status-written", {{"service", status.service}, {"to", written->version}});
    m_dependencies.rollouts.applyStatus(status.service, written);
    if (isWanted()) {
        m_writes.erase(status.service);
    }
}

} // namespace Guavalock

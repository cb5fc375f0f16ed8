#include "Relay/TargetSelection.h"

#include "Decisions/Hash.h"
#include "Fleet/FleetTable.h"
#include "Fleet/RouteRecord.h"
#include "Fleet/ServiceRecord.h"
#include "Flow/Cancellation.h"
#include "Kernel/Reason.h"
#include "Placement/PlacementExchange.h"
#include "Placement/PlacementTable.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayContext.h"
#include "Relay/TargetWait.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

using Milliseconds = std::chrono::milliseconds;
using Event = PlacementReport::Event;

constexpr Milliseconds pollInterval{40}; ///< While no target is available.
constexpr Milliseconds returnSpread{500}; ///< Clients that were refused until a target is available return spread over this time.
/// Bytes between data centres whose transfer costs as much as reprocessing one prompt token.
constexpr std::uint64_t bytesPerPromptToken = 2'800;
constexpr Milliseconds longestOwnerWait{30}; ///< A few round trips between daemons.
constexpr Milliseconds shortestOwnerWait{10}; ///< A daemon with a small share of a processor is often not scheduled for this long.
constexpr int ownerWaitPart = 20; ///< Part of the latency objective that may be spent waiting for the owner.

/// Returns what the end of an attempt shows about its target.
Event eventOf(AttemptReport::Outcome outcome)
{
    // In the order of AttemptReport::Outcome.
    static constexpr std::array<Event, 8> events{Event::Completed, Event::Failed, Event::Abandoned, Event::Lost,
                                                 Event::Lost,      Event::Lost,   Event::Lost,      Event::Abandoned};
    return events.at(static_cast<std::size_t>(outcome));
}

} // namespace

TargetSelection::TargetSelection(const RelayContext &context, Parameters parameters, Cancellation &cancellation)
    : m_context(context)
    , m_parameters(parameters)
    , m_cancellation(cancellation)
{
    const OpaqueRequest &request = m_parameters.request;
    m_requirements.service = m_parameters.service.name;
    m_requirements.affinity = m_parameters.route.promptAffinity ? request.sharedPromptHash : 0;
    m_requirements.promptTokens = request.promptTokens;
    m_requirements.requestId = request.id;
    m_requirements.rank = m_parameters.rank;
    m_requirements.route = m_parameters.route.name;
}

TargetSelection::~TargetSelection()
{
    abandon();
}

Milliseconds TargetSelection::maxWait(Milliseconds latencyObjective)
{
    return std::max(std::min(longestOwnerWait, latencyObjective / ownerWaitPart), shortestOwnerWait);
}

bool TargetSelection::isTooLarge() const
{
    const OpaqueRequest &request = m_parameters.request;
    const std::optional<ModelCapacity> &capacity = m_parameters.service.capacity;
    return capacity && m_context.placement.isActive() && !PlacementTable::fits(*capacity, request.promptTokens, request.outputTokens);
}

void TargetSelection::setStageResults(const std::string &dataCentre, std::uint64_t bytes)
{
    const bool dominate = bytes > bytesPerPromptToken * m_parameters.request.sharedPromptTokens;
    m_requirements.dataCentre = dominate ? dataCentre : std::string();
    m_resultsDataCentre = dataCentre;
    m_remoteTokens = bytes / bytesPerPromptToken;
}

TargetRequirements TargetSelection::requirements() const
{
    return m_requirements;
}

PlacementQuery TargetSelection::query() const
{
    const OpaqueRequest &request = m_parameters.request;
    const Clock::TimePoint now = m_context.clock.now();
    PlacementQuery query;
    query.service = m_requirements.service;
    query.rank = m_requirements.rank;
    query.timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(m_parameters.objectiveDeadline - now);
    query.timeout = std::chrono::duration_cast<std::chrono::microseconds>(m_parameters.deadline - now);
    query.promptTokens = request.promptTokens;
    query.outputTokens = request.outputTokens;
    for (std::size_t it = 0; it < request.sharedPromptParts.size(); ++it) {
        query.parts.push_back({request.sharedPromptParts[it], std::min(request.sharedPartTokens[it], request.promptTokens)});
    }
    query.triedTargets.assign(m_requirements.triedTargets.begin(), m_requirements.triedTargets.end());
    query.dataCentre = m_resultsDataCentre;
    query.remoteTokens = m_remoteTokens;
    return query;
}

std::optional<SelectedTarget> TargetSelection::choose(Reason &reason)
{
    const Clock::TimePoint now = m_context.clock.now();
    if (m_placement.source == PlacementResult::Source::Placed) {
        TargetRequirements placed = m_requirements;
        placed.placedTarget = m_placement.target;
        if (auto target = m_context.fleet.choose(placed, m_parameters.service, now, reason)) {
            return target;
        }
    }
    return m_context.fleet.choose(m_requirements, m_parameters.service, now, reason);
}

Asio::awaitable<std::optional<SelectedTarget>> TargetSelection::select(const std::function<bool()> &mayContinue)
{
    Asio::steady_timer timer(m_cancellation.strand());
    Reason reason;
    TargetWait wait(m_context.fleet, m_requirements);
    abandon();
    if (m_parameters.service.capacity && m_context.placement.isActive()) {
        m_placement = co_await m_context.placement.place(query(), maxWait(m_parameters.route.latencyObjective), m_cancellation.strand());
    }
    while (!m_cancellation.cause() && mayContinue()) {
        if (std::optional<SelectedTarget> target = choose(reason)) {
            m_sentAt = m_context.clock.now();
            m_requirements.isRepetition = true; // From the next attempt on.
            if (m_placement.number != 0) {
                m_context.placement.recordPlaced(m_placement, query(), target->id);
            }
            co_return target;
        }
        if (isUnavailable(m_context.clock.now())) {
            break;
        }
        wait.join();
        timer.expires_after(pollInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    abandon();
    m_reason = reason.text;
    co_return std::nullopt;
}

void TargetSelection::abandon()
{
    const PlacementResult placement = std::exchange(m_placement, {});
    if (placement.number != 0) {
        PlacementReport report;
        report.event = Event::Abandoned;
        report.query.number = placement.number;
        report.query.service = m_requirements.service;
        m_context.placement.report(std::move(report));
    }
}

const std::string &TargetSelection::reason() const
{
    return m_reason;
}

bool TargetSelection::isUnavailable(Clock::TimePoint now)
{
    const Clock::TimePoint objective = m_parameters.objectiveDeadline;
    const auto unavailable = m_context.fleet.timeUntilAvailable(m_requirements, now);
    const bool isLate = now > objective || (unavailable && *unavailable > objective - now);
    if (isLate && unavailable && *unavailable < Clock::Duration::max()) {
        const Milliseconds spread(Hash::of(m_requirements.requestId) % static_cast<std::uint64_t>(returnSpread.count()));
        m_retryAfter = std::chrono::ceil<Milliseconds>(*unavailable) + spread;
    }
    return isLate;
}

std::optional<Milliseconds> TargetSelection::retryAfter() const
{
    return m_retryAfter;
}

void TargetSelection::addTried(const std::string &target)
{
    m_requirements.triedTargets.insert(target);
}

bool TargetSelection::hasTried(const std::string &target) const
{
    return m_requirements.triedTargets.contains(target);
}

void TargetSelection::recordStart(const SelectedTarget &target, const AttemptReport &report)
{
    m_context.fleet.recordResponseStart(target.id, m_requirements.promptTokens);
    m_context.fleet.recordFirstByte(target.attempt, m_context.clock.now());
    m_started = true;
    if (m_placement.number != 0) {
        const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(m_context.clock.now() - m_sentAt);
        m_context.placement.report(
            {Event::Started, {.number = m_placement.number, .service = m_requirements.service}, {}, true, duration, report.load});
    }
}

void TargetSelection::recordEnd(const SelectedTarget &target, const AttemptReport &report)
{
    const Clock::TimePoint now = m_context.clock.now();
    // The prompt of a stream no longer counts since its start.
    if (!std::exchange(m_started, false)) {
        m_context.fleet.recordResponseStart(target.id, m_requirements.promptTokens);
    }
    AttemptReport attempt = report;
    attempt.attempt = target.attempt;
    m_context.fleet.recordAttempt(target.id, attempt, m_parameters.service.coldStartTime, now);
    const PlacementResult placement = std::exchange(m_placement, {});
    if (placement.number != 0) {
        const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(now - m_sentAt);
        m_context.placement.report(
            {eventOf(report.outcome), {.number = placement.number, .service = m_requirements.service}, {}, true, duration, report.load});
    }
}

} // namespace Guavalock

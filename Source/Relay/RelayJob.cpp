#include "Relay/RelayJob.h"

#include "Batching/StageTimes.h"
#include "Decisions/Hash.h"
#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/ConnectionShare.h"
#include "Fleet/FleetTable.h"
#include "Fleet/RepeatBudget.h"
#include "Flow/DeadlineTimer.h"
#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Relay/AnswerSink.h"
#include "Relay/RelayAttempt.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds answerMargin{40}; ///< Before the caller's deadline, for the way of the final answer.
constexpr Milliseconds targetWait{40}; ///< Between looks for a target while none may be used.
constexpr Milliseconds refusalPause{15}; ///< Before another target is tried after a refusal, so that full targets are not hammered.
constexpr Milliseconds comeBackSoon{400}; ///< After a loss of targets, by when others have taken over.
constexpr Milliseconds comeBackLater{3'000}; ///< After an overload, by when a burst of a few seconds has eased.
constexpr Milliseconds callerPatience{2'000}; ///< Callers leave a stream that is silent for the longest of this time,
constexpr int patienceInObjectives = 4; ///< this many times the route's objective
constexpr int patienceInGaps = 8; ///< and this many times its longest pause.
constexpr std::uint64_t bytesForToken = 2'800; ///< Crossing data centres that cost as much as one prompt token read again.
constexpr int silenceInLatencies = 3; ///< Silence for this many times the target's usual time means that something is wrong.
constexpr unsigned mostSends = 8; ///< Sends that reach no target or are refused; beyond that the service has no room.
constexpr std::size_t mostPieces = 1'000; ///< Of a stage; many full calls, and what a caller can make us hold.
constexpr unsigned mostRestarts = 2; ///< Times that stages are made again for one request.

} // namespace

RelayJob::RelayJob(const RelayParts &parts, OpaqueRequest request, AnswerSink &sink, Cancellation &cancellation)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_catalogue(parts.catalogue.current())
{
}

RelayJob::~RelayJob() = default;

bool RelayJob::refuseLater(ResultCode code, RunState run, std::string reason)
{
    m_refusal = Refusal::of(code, run, std::move(reason));
    return false;
}

bool RelayJob::admit()
{
    if (!m_catalogue) {
        refuseLater(ResultCode::NotConfigured, RunState::No, "no configuration is known yet");
        m_refusal.retryAfter = comeBackSoon;
        return false;
    }
    m_route = m_catalogue->route(m_request.host, m_request.path());
    if (m_route == nullptr) {
        return refuseLater(ResultCode::UnknownPath, RunState::No, "no route for this host and path");
    }
    if (m_catalogue->hasOrganisations() && !m_route->open) {
        m_organisation = m_catalogue->organisation(m_request.key);
        if (m_organisation == nullptr) {
            return refuseLater(ResultCode::NotAuthorised, RunState::No, "the key belongs to no organisation");
        }
    }
    const std::string &service = m_catalogue->serviceFor(*m_route, m_request.id);
    m_service = m_catalogue->service(service);
    if (m_service == nullptr) {
        return refuseLater(ResultCode::NoTarget, RunState::No, "the route's service " + service + " is not configured");
    }
    if (std::ranges::any_of(m_request.pieceCounts, [](std::size_t it) { return it > mostPieces; })) {
        return refuseLater(ResultCode::MalformedRequest, RunState::No, "a stage of more than " + std::to_string(mostPieces) + " pieces");
    }
    m_rank = m_organisation != nullptr && m_organisation->rank ? *m_organisation->rank : m_route->rank;
    const Milliseconds wait = std::min(m_route->timeout, m_request.deadline.value_or(m_route->timeout));
    m_deadline = m_request.arrived + wait;
    m_objective = m_request.arrived + m_route->objective;
    m_parts.budget.request(service, m_request.arrived);
    return true;
}

Milliseconds RelayJob::sinceArrival() const
{
    return std::chrono::duration_cast<Milliseconds>(m_parts.clock.now() - m_request.arrived);
}

Milliseconds RelayJob::timeLeft() const
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - m_parts.clock.now());
}

Asio::awaitable<void> RelayJob::run()
{
    if (!admit()) {
        co_await tellRefusal();
        co_return;
    }
    const auto giveUp = [this] {
        m_cancellation.cancel(RefusalCause::DeadlineUnreachable);
    };
    const DeadlineTimer timer(m_cancellation.strand(), m_deadline - answerMargin, giveUp);
    const DeadlineTimer firstEvent(m_cancellation.strand(), firstEventLimit(), [this, giveUp] {
        if (!m_progress.begun) {
            giveUp();
        }
    });
    beginStages();
    Next next = Next::Again;
    while (next == Next::Again) {
        const bool ready = co_await makeStages();
        if (!ready) {
            co_return;
        }
        next = co_await attempt();
    }
}

void RelayJob::beginStages()
{
    if (!m_route->stages.empty() && !m_request.pieceCounts.empty()) {
        StagePlan plan(m_route->stages, m_request.pieceCounts, m_request.id, m_request.pieceKey);
        plan.setDestination(m_parts.fleet.likelyDataCentre(demand(), *m_service, m_parts.clock.now()));
        StageRun::Terms terms{m_rank, m_objective, firstEventLimit(), m_service->name};
        if (m_progress.begun) {
            // A stream that goes on elsewhere has to do so before its caller leaves; its objective no longer matters.
            terms.objective = std::min(m_deadline, m_parts.clock.now() + patience()) - answerMargin;
            terms.deadline = terms.objective;
            terms.refusable = false;
        }
        m_stages = std::make_unique<StageRun>(m_parts.pieces, m_parts.times, m_parts.clock, std::move(plan), std::move(terms),
                                              m_cancellation, m_request.id);
    }
}

Clock::TimePoint RelayJob::firstEventLimit() const
{
    if (m_route->rule != RunRule::Stream) {
        return m_deadline - answerMargin;
    }
    return std::min(m_deadline, m_request.arrived + patience()) - answerMargin;
}

Milliseconds RelayJob::patience() const
{
    return std::max({callerPatience, patienceInObjectives * m_route->objective, patienceInGaps * m_route->gapObjective});
}

Asio::awaitable<bool> RelayJob::makeStages()
{
    if (!m_stages || m_stages->plan().complete()) {
        co_return true;
    }
    const StageRun::End end = co_await m_stages->run();
    if (end == StageRun::End::Complete) {
        m_stagesTook = sinceArrival();
        m_parts.metrics.distribution("stages_seconds").observe(*m_stagesTook);
        co_return true;
    }
    if (m_progress.begun) {
        m_sink.cut();
        logEnd("cut", 0);
        co_return false;
    }
    if (m_cancellation.cause() == RefusalCause::CallerClosed) {
        logEnd("caller-closed", 0);
        co_return false;
    }
    if (end == StageRun::End::Failed) {
        m_refusal.retryAfter = comeBackSoon;
        co_await refuse(ResultCode::StageUnavailable, "a stage could not be made");
        co_return false;
    }
    m_refusal.retryAfter = comeBackLater;
    co_await refuse(ResultCode::Overloaded,
                    end == StageRun::End::Refused ? "the stages have too much to do already" : "the stages were not made in time");
    co_return false;
}

TargetDemand RelayJob::demand() const
{
    TargetDemand demand;
    demand.service = m_service->name;
    demand.affinity = m_route->promptAffinity ? m_request.sharedPrompt : 0;
    demand.promptTokens = m_request.promptTokens;
    demand.avoid = m_tried;
    const bool resultsOutweigh = m_stages && m_stages->plan().finalBytes() > bytesForToken * m_request.sharedTokens;
    if (resultsOutweigh) {
        demand.dataCentre = m_stages->plan().finalDataCentre();
    }
    return demand;
}

Asio::awaitable<std::optional<TargetPick>> RelayJob::findTarget()
{
    Asio::steady_timer timer(m_cancellation.strand());
    Reason reason;
    while (!m_cancellation.cause()) {
        std::optional<TargetPick> target = m_parts.fleet.choose(demand(), *m_service, m_parts.clock.now(), reason);
        if (target) {
            co_return target;
        }
        if (m_parts.clock.now() > m_objective) {
            break;
        }
        timer.expires_after(targetWait);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    m_refusal.reason = reason.text;
    co_return std::nullopt;
}

SendTerms RelayJob::sendTerms(const TargetPick &target) const
{
    SendTerms terms;
    terms.targetId = target.id;
    terms.timeLeft = timeLeft();
    terms.organisation = m_organisation != nullptr ? m_organisation->name : std::string();
    if (m_route->promptAffinity) {
        terms.rank = m_rank;
    }
    if (m_stages) {
        terms.inputs = m_stages->plan().finalHandles();
    }
    terms.resumeAfter = m_progress.events.lastId().empty() ? m_request.lastEventId : m_progress.events.lastId();
    return terms;
}

Milliseconds RelayJob::silenceLimit(const TargetPick &target) const
{
    const auto usual = std::chrono::duration_cast<Milliseconds>(silenceInLatencies * target.typicalLatency);
    return std::max(m_route->objective / 2, usual);
}

bool RelayJob::otherTargetWorthwhile(const TargetPick &target) const
{
    return m_route->repeatable() && m_runs + 1 < m_route->maxAttempts && timeLeft() > 2 * silenceLimit(target);
}

Asio::awaitable<RelayJob::Next> RelayJob::attempt()
{
    const std::optional<TargetPick> target = co_await findTarget();
    if (!target) {
        if (m_cancellation.cause()) {
            AttemptOutcome none;
            co_return co_await cancelled(none);
        }
        m_refusal.retryAfter = comeBackSoon;
        const std::string reason = m_refusal.reason;
        co_await refuse(ResultCode::NoTarget, reason);
        co_return Next::Done;
    }
    ++m_sends;
    m_sentAt = m_parts.clock.now();
    m_lastTarget = target->id;
    std::optional<Milliseconds> silence;
    if (otherTargetWorthwhile(*target)) {
        silence = silenceLimit(*target);
    }
    const auto mayGiveUp = [this] {
        return m_parts.budget.take(m_service->name, m_parts.clock.now());
    };
    const std::size_t mostIdle = m_route->reusesConnections() ? m_parts.connectionShare.idle(m_service->connectionLimit) : 0;
    RelayAttempt attempt(m_parts, {m_request, *m_route, *target, sendTerms(*target), mostIdle, silence, mayGiveUp}, m_progress, m_sink,
                         m_cancellation);
    attempt.onBegun([this, &target] {
        m_parts.fleet.began(target->id, m_request.promptTokens);
        const Clock::TimePoint now = m_parts.clock.now();
        m_firstEvent = sinceArrival();
        m_parts.metrics.distribution("first_event_seconds").observe(*m_firstEvent);
        m_parts.times.observe(m_service->name, now - m_sentAt, now);
        m_stages.reset();
    });
    AttemptOutcome outcome = co_await attempt.run();
    m_parts.fleet.began(target->id, m_request.promptTokens);
    m_parts.fleet.ended(target->id, attempt.report(), m_service->coldTime, m_parts.clock.now());
    static constexpr std::array<Handler, 10> handlers{
        &RelayJob::answered,   &RelayJob::delivered, &RelayJob::delivered, &RelayJob::notRun, &RelayJob::notReached,
        &RelayJob::inputsGone, &RelayJob::noAnswer,  &RelayJob::noAnswer,  &RelayJob::cut,    &RelayJob::cancelled};
    co_return co_await (this->*handlers.at(static_cast<std::size_t>(outcome.end)))(outcome);
}

bool RelayJob::mayRepeat()
{
    return m_route->repeatable() && m_runs < m_route->maxAttempts && timeLeft() > answerMargin
        && m_parts.budget.take(m_service->name, m_parts.clock.now());
}

Asio::awaitable<RelayJob::Next> RelayJob::answered(AttemptOutcome &outcome)
{
    ++m_runs;
    m_runState = RunState::Yes;
    m_tried.insert(m_lastTarget);
    if (outcome.head.status >= 500 && mayRepeat()) {
        noteRepeat("target-error");
        co_return Next::Again;
    }
    co_await m_sink.whole(outcome.head, outcome.body);
    logEnd("answered", outcome.head.status);
    co_return Next::Done;
}

Asio::awaitable<RelayJob::Next> RelayJob::delivered(AttemptOutcome &outcome)
{
    logEnd(outcome.end == AttemptOutcome::End::Delivered ? "answered" : "caller-closed", outcome.head.status);
    co_return Next::Done;
}

Asio::awaitable<RelayJob::Next> RelayJob::notRun(AttemptOutcome &)
{
    m_tried.insert(m_lastTarget);
    if (m_sends >= mostSends || !m_parts.budget.take(m_service->name, m_parts.clock.now())) {
        m_refusal.retryAfter = comeBackLater;
        co_await refuse(ResultCode::Overloaded, "targets refuse requests of service " + m_service->name);
        co_return Next::Done;
    }
    noteRepeat("not-run");
    Asio::steady_timer timer(m_cancellation.strand(), refusalPause);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    co_return Next::Again;
}

Asio::awaitable<RelayJob::Next> RelayJob::notReached(AttemptOutcome &)
{
    // Nothing arrived at the service, so the budget of repeats is left alone.
    m_tried.insert(m_lastTarget);
    if (m_sends >= mostSends) {
        m_refusal.retryAfter = comeBackSoon;
        co_await refuse(ResultCode::NoTarget, "targets of service " + m_service->name + " cannot be reached");
        co_return Next::Done;
    }
    noteRepeat("not-reached");
    co_return Next::Again;
}

Asio::awaitable<RelayJob::Next> RelayJob::inputsGone(AttemptOutcome &)
{
    if (!m_stages || m_sends > mostRestarts || !m_parts.budget.take(m_service->name, m_parts.clock.now())) {
        m_refusal.retryAfter = comeBackSoon;
        co_await refuse(ResultCode::StageUnavailable, "stage results were lost before they were read");
        co_return Next::Done;
    }
    noteRepeat("inputs-gone");
    m_stages->restart();
    co_return Next::Again;
}

Asio::awaitable<RelayJob::Next> RelayJob::noAnswer(AttemptOutcome &outcome)
{
    ++m_runs;
    m_tried.insert(m_lastTarget);
    m_runState = RunState::Unknown;
    // A silent target is given up only with a repeat from the budget in hand.
    const bool silent = outcome.end == AttemptOutcome::End::Silent;
    if (silent || mayRepeat()) {
        noteRepeat(silent ? "silent" : "broken");
        co_return Next::Again;
    }
    co_await refuse(ResultCode::OutcomeUnknown, "the target " + m_lastTarget + " gave no whole answer");
    co_return Next::Done;
}

Asio::awaitable<RelayJob::Next> RelayJob::cut(AttemptOutcome &outcome)
{
    ++m_runs;
    m_runState = RunState::Unknown;
    m_tried.insert(m_lastTarget);
    if (outcome.end == AttemptOutcome::End::Cut && mayRepeat()) {
        noteRepeat("resumed");
        beginStages();
        co_return Next::Again;
    }
    m_sink.cut();
    logEnd("cut", 0);
    co_return Next::Done;
}

Asio::awaitable<RelayJob::Next> RelayJob::cancelled(AttemptOutcome &outcome)
{
    if (outcome.end == AttemptOutcome::End::Cancelled) {
        m_runState = RunState::Unknown;
    }
    if (m_cancellation.cause() == RefusalCause::CallerClosed) {
        logEnd("caller-closed", 0);
        co_return Next::Done;
    }
    if (m_progress.begun) {
        co_return co_await cut(outcome);
    }
    co_await refuse(m_runState == RunState::No ? ResultCode::DeadlineUnreachable : ResultCode::DeadlineExceeded,
                    "the deadline passed before an answer");
    co_return Next::Done;
}

Asio::awaitable<void> RelayJob::refuse(ResultCode code, std::string reason)
{
    if (m_progress.begun) {
        m_sink.cut();
        logEnd("cut", 0);
        co_return;
    }
    const std::optional<Milliseconds> retryAfter = m_refusal.retryAfter;
    const bool ran = m_runState != RunState::No;
    m_refusal = Refusal::of(ran ? (code == ResultCode::DeadlineExceeded ? code : ResultCode::OutcomeUnknown) : code, m_runState,
                            std::move(reason));
    m_refusal.retryAfter = ran ? std::nullopt : retryAfter;
    co_await tellRefusal();
}

Asio::awaitable<void> RelayJob::tellRefusal()
{
    m_parts.metrics.counter("refusals_total{code=\"" + std::string(resultCodeInfo(m_refusal.code).name) + "\"}").add();
    co_await m_sink.refuse(m_refusal);
    logEnd("refused", 0);
}

void RelayJob::noteRepeat(std::string_view cause) const
{
    m_parts.metrics.counter("repeats_total{cause=\"" + std::string(cause) + "\"}").add();
    Log::state("relay", "repeat",
               {{"id", m_request.id},
                {"cause", std::string(cause)},
                {"target", m_lastTarget},
                {"sends", std::to_string(m_sends)},
                {"left_ms", std::to_string(timeLeft().count())}});
}

void RelayJob::logEnd(std::string_view outcome, unsigned status) const
{
    const Milliseconds took = sinceArrival();
    const auto text = [](const std::optional<Milliseconds> &time) {
        return time ? std::to_string(time->count()) : std::string();
    };
    m_parts.metrics.distribution("request_seconds").observe(took);
    Log::state("relay", "request",
               {{"id", m_request.id},
                {"outcome", std::string(outcome)},
                {"status", std::to_string(status)},
                {"code", std::string(outcome == "refused" ? resultCodeInfo(m_refusal.code).name : "")},
                {"reason", outcome == "refused" ? m_refusal.reason : ""},
                {"route", m_route != nullptr ? m_route->name : ""},
                {"configuration", m_catalogue ? std::to_string(m_catalogue->version()) : "none"},
                {"target", m_lastTarget},
                {"sends", std::to_string(m_sends)},
                {"stages_ms", text(m_stagesTook)},
                {"first_event_ms", text(m_firstEvent)},
                {"objective_ms", m_route != nullptr ? std::to_string(m_route->objective.count()) : ""},
                {"took_ms", std::to_string(took.count())}});
}

} // namespace Guavalock

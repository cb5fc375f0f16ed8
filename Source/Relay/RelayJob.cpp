#include "Relay/RelayJob.h"

#include "Batching/StageTimes.h"
#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/FleetRetryBudget.h"
#include "Fleet/FleetTable.h"
#include "Fleet/IdleConnectionLimit.h"
#include "Flow/DeadlineTimer.h"
#include "Kernel/Distribution.h"
#include "Kernel/Metrics.h"
#include "Relay/ClientPatience.h"
#include "Relay/RelayAttempt.h"
#include "Relay/RequestRoute.h"
#include "Relay/ResponseSink.h"
#include "Relay/StopSchedule.h"
#include "Relay/UnansweredRequests.h"

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

constexpr Milliseconds responseMargin{40}; ///< Reserved before the client's deadline for sending the response.
constexpr Milliseconds refusedRetryDelay{15}; ///< Delay before a retry after a target refused, to avoid flooding targets at capacity.
constexpr Milliseconds shortRetryAfter{400}; ///< Retry-After when targets were lost; other targets have taken over by then.
constexpr Milliseconds overloadRetryAfter{3'000}; ///< Retry-After on overload; bursts last a few seconds.
constexpr unsigned maxSends = 8; ///< Limit on attempts that reach no target or are refused; beyond it the service is presumed overloaded.
constexpr const char *quarantineReason = "requests with this content crashed targets";
constexpr unsigned maxStageRestarts = 2; ///< Limit on reruns of the stages of one request.

} // namespace

RelayJob::RelayJob(const RelayContext &context, OpaqueRequest request, ResponseSink &sink, Cancellation &cancellation)
    : m_context(context)
    , m_request(std::move(request))
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_catalogue(context.catalogue.current())
    , m_completion(context, m_request, m_history, m_progress, sink)
{
}

RelayJob::~RelayJob() = default;

bool RelayJob::setRefusal(ResultCode code, RunState run, std::string reason)
{
    m_completion.refusal() = Refusal::of(code, run, std::move(reason));
    return false;
}

bool RelayJob::admit()
{
    if (!m_catalogue) {
        setRefusal(ResultCode::NotConfigured, RunState::No, "no configuration has been loaded yet");
        m_completion.refusal().retryAfter = shortRetryAfter;
        return false;
    }
    RequestRoute found;
    std::optional<Refusal> refusal = found.find(*m_catalogue, m_request);
    m_route = found.route;
    m_completion.setRoute(m_route, std::to_string(m_catalogue->version()));
    if (refusal) {
        m_completion.refusal() = std::move(*refusal);
        return false;
    }
    m_service = found.service;
    m_organisation = found.organisationName();
    m_rank = found.rank();
    const Milliseconds timeout = std::min(m_route->timeout, m_request.deadline.value_or(m_route->timeout));
    m_deadline = m_request.receivedAt + timeout;
    if (!admitDuringStop() || !admitContent()) {
        return false;
    }
    m_objectiveDeadline = m_request.receivedAt + m_route->latencyObjective;
    m_selection.emplace(m_context, TargetSelection::Parameters{m_request, *m_route, *m_service, m_rank, m_objectiveDeadline, m_deadline},
                        m_cancellation);
    m_context.retryBudget.recordRequest(m_service->name, m_request.receivedAt);
    return true;
}

bool RelayJob::admitContent()
{
    m_content.emplace(m_context, m_request, m_organisation);
    const std::optional<Milliseconds> left = m_content->refuseNew();
    if (left) {
        setRefusal(ResultCode::ContentQuarantined, RunState::No, quarantineReason);
        m_completion.refusal().retryAfter = left;
    }
    return !left;
}

bool RelayJob::admitDuringStop()
{
    m_stopGuard.emplace(m_context, m_request, m_route->name, m_deadline);
    if (m_stopGuard->admits()) {
        return true;
    }
    setRefusal(ResultCode::Draining, RunState::No, "the daemon is shutting down and may not complete the request in time");
    m_completion.refusal().retryAfter = StopSchedule::retryAfter;
    return false;
}

Milliseconds RelayJob::elapsedTime() const
{
    return std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - m_request.receivedAt);
}

Milliseconds RelayJob::remainingTime() const
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - m_context.clock.now());
}

Asio::awaitable<void> RelayJob::run()
{
    if (!admit()) {
        co_await m_completion.sendRefusal();
        co_return;
    }
    const auto cancelUnreachable = [this] {
        m_cancellation.cancel(RefusalCause::DeadlineUnreachable);
    };
    const DeadlineTimer timer(m_cancellation.strand(), m_deadline - responseMargin, cancelUnreachable);
    const DeadlineTimer firstEvent(m_cancellation.strand(), firstEventDeadline(), [this, cancelUnreachable] {
        if (!m_progress.started) {
            cancelUnreachable();
        }
    });
    m_timer.emplace(m_context.routeDurations, m_context.clock, m_route->name, RouteDurations::Span::Request, m_request.receivedAt);
    if (m_selection->isTooLarge()) {
        co_await m_completion.refuse(ResultCode::NoTarget,
                                     "the request does not fit into the memory of any target of service " + m_service->name);
        co_return;
    }
    if (!m_route->stages.empty() && m_selection->isUnavailable(m_context.clock.now())) {
        m_completion.refusal().retryAfter = m_selection->retryAfter().value_or(shortRetryAfter);
        co_await m_completion.refuse(ResultCode::NoTarget,
                                     "no target of service " + m_service->name + " takes the request in time, as they have stated");
        co_return;
    }
    if (!m_route->stages.empty() && !m_request.pieceCounts.empty()) {
        m_arrival.emplace(m_context, m_request, *m_route, *m_catalogue, m_rank);
        m_completion.setArrival(&*m_arrival);
        if (std::optional<Refusal> refusal = m_arrival->refuse(m_service->name, {m_objectiveDeadline, firstEventDeadline()})) {
            m_completion.refusal() = std::move(*refusal);
            co_await m_completion.sendRefusal();
            co_return;
        }
    }
    startStages();
    NextStep next = NextStep::Retry;
    while (next == NextStep::Retry) {
        m_context.unanswered.setWaiting(m_cancellation, WaitingRequest{m_route->name, m_request.receivedAt, m_deadline});
        const bool ready = co_await runStages();
        if (!ready) {
            co_return;
        }
        next = co_await runAttempt();
    }
}

void RelayJob::startStages()
{
    if (!m_route->stages.empty() && !m_request.pieceCounts.empty()) {
        StagePlan plan(m_route->stages, m_request.pieceCounts, m_request.id, m_request.pieceKey);
        plan.setDestination(m_context.fleet.predictDataCentre(m_selection->requirements(), *m_service, m_context.clock.now()));
        StageRun::Parameters parameters{m_rank, m_objectiveDeadline, firstEventDeadline(), m_service->name};
        parameters.admittedServices = m_arrival->consideredServices();
        parameters.shortestCall = [catalogue = m_catalogue](const std::string &name) {
            const ServiceRecord *service = catalogue->service(name);
            return service != nullptr && service->batch ? Clock::Duration(service->batch->fixedCallTime) : Clock::Duration::zero();
        };
        if (m_progress.started) {
            // An interrupted stream must resume before its client disconnects; the latency objective no longer applies.
            parameters.objectiveDeadline
                = std::min(m_deadline, m_context.clock.now() + ClientPatience::idleTimeout(*m_route)) - responseMargin;
            parameters.deadline = parameters.objectiveDeadline;
            parameters.noOutputSent = false;
        }
        m_stages = std::make_unique<StageRun>(m_context.pieces, m_context.stageTimes, m_context.clock, std::move(plan),
                                              std::move(parameters), m_cancellation, m_request.id);
    }
}

Clock::TimePoint RelayJob::firstEventDeadline() const
{
    if (m_route->semantics != ExecutionSemantics::Stream) {
        return m_deadline - responseMargin;
    }
    return std::min(m_deadline, m_request.receivedAt + ClientPatience::idleTimeout(*m_route)) - responseMargin;
}

Asio::awaitable<bool> RelayJob::runStages()
{
    if (!m_stages || m_stages->plan().complete()) {
        co_return true;
    }
    const StageRun::Outcome end = co_await m_stages->run();
    if (end == StageRun::Outcome::Complete) {
        m_history.stagesDuration = elapsedTime();
        m_context.metrics.distribution("stages_seconds").observe(*m_history.stagesDuration);
        co_return true;
    }
    if (m_progress.started) {
        m_sink.abortStream();
        m_completion.log("cut", 0);
        co_return false;
    }
    if (m_cancellation.cause() == RefusalCause::CallerClosed) {
        m_completion.log("caller-closed", 0);
        co_return false;
    }
    if (m_cancellation.cause() == RefusalCause::StopTimeout) {
        co_await m_completion.refuseForStop();
        co_return false;
    }
    if (end == StageRun::Outcome::Failed) {
        m_completion.refusal().retryAfter = shortRetryAfter;
        co_await m_completion.refuse(ResultCode::StageUnavailable, "a stage failed");
        co_return false;
    }
    m_completion.refusal().retryAfter = m_arrival->retryAfter().value_or(overloadRetryAfter);
    co_await m_completion.refuse(ResultCode::Overloaded,
                                 end == StageRun::Outcome::Refused ? "the stage services are overloaded"
                                                                   : "the stages did not complete before the deadline");
    co_return false;
}

Asio::awaitable<std::optional<SelectedTarget>> RelayJob::selectTarget()
{
    if (m_stages) {
        m_selection->setStageResults(m_stages->plan().finalDataCentre(), m_stages->plan().finalBytes());
    }
    const auto mayContinue = [this] {
        if (!m_progress.started && m_stopGuard->outlastsStop()) {
            m_cancellation.cancel(RefusalCause::StopTimeout);
            return false;
        }
        return !m_content->refuseSend();
    };
    std::optional<SelectedTarget> target = co_await m_selection->select(mayContinue);
    if (!target) {
        m_completion.refusal().retryAfter = m_selection->retryAfter();
    }
    co_return target;
}

UpstreamParameters RelayJob::upstreamParameters(const SelectedTarget &target) const
{
    UpstreamParameters parameters;
    parameters.targetId = target.id;
    parameters.remainingTime = remainingTime();
    parameters.organisation = m_organisation;
    if (m_route->promptAffinity) {
        parameters.rank = m_rank;
    }
    if (m_stages) {
        parameters.inputs = m_stages->plan().finalHandles();
    }
    parameters.resumeAfterEventId = m_progress.events.lastEventId().empty() ? m_request.lastEventId : m_progress.events.lastEventId();
    return parameters;
}

std::optional<Milliseconds> RelayJob::firstByteTimeout(const SelectedTarget &target) const
{
    constexpr int typicalLatencies = 3; // After this multiple of its typical latency, a target is presumed faulty.
    const auto typicalLimit = std::chrono::duration_cast<Milliseconds>(typicalLatencies * target.typicalLatency);
    const Milliseconds timeout = std::max(m_route->latencyObjective / 2, typicalLimit);
    const bool canRetry = m_route->retryable() && m_possibleExecutions + 1 < m_route->maxAttempts && remainingTime() > 2 * timeout;
    return canRetry ? std::optional(timeout) : std::nullopt;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::runAttempt()
{
    const std::optional<SelectedTarget> target = co_await selectTarget();
    if (!target) {
        if (m_cancellation.cause()) {
            AttemptOutcome noOutcome;
            co_return co_await onCancelled(noOutcome);
        }
        if (const std::optional<Milliseconds> left = m_content->refuseSend()) {
            m_completion.refusal().retryAfter = left;
            co_await m_completion.refuse(ResultCode::ContentQuarantined, quarantineReason);
            co_return NextStep::Done;
        }
        m_completion.refusal().retryAfter = m_completion.refusal().retryAfter.value_or(shortRetryAfter);
        co_await m_completion.refuse(ResultCode::NoTarget, m_selection->reason());
        co_return NextStep::Done;
    }
    m_context.unanswered.setWaiting(m_cancellation, std::nullopt);
    ++m_history.sends;
    m_attemptStart = m_context.clock.now();
    RouteTimer timer(m_context.routeDurations, m_context.clock, m_route->name, RouteDurations::Span::Run, m_attemptStart);
    m_history.lastTarget = target->id;
    const auto mayAbandon = [this] {
        return m_context.retryBudget.tryAcquire(m_service->name, m_context.clock.now());
    };
    const std::size_t maxIdleConnections
        = m_route->reusesConnections() ? m_context.connectionShare.perTarget(m_service->connectionLimit) : 0;
    // A refusal of this request that the target sends again must not be taken for the response to this attempt.
    const bool mayReuseConnection = m_route->reusesConnections() && !m_selection->hasTried(target->id);
    RelayAttempt attempt(m_context,
                         {m_request, *m_route, *target, upstreamParameters(*target), mayReuseConnection, maxIdleConnections,
                          firstByteTimeout(*target), ClientPatience::eventTimeout(*m_route), mayAbandon},
                         m_progress, m_sink, m_cancellation);
    attempt.onStreamStarted([this, &target, &attempt] {
        m_context.unanswered.remove(m_cancellation);
        m_selection->recordStart(*target, attempt.report());
        const Clock::TimePoint now = m_context.clock.now();
        m_history.timeToFirstEvent = elapsedTime();
        m_context.metrics.distribution("first_event_seconds").observe(*m_history.timeToFirstEvent);
        m_context.stageTimes.observe(m_service->name, now - m_attemptStart, now);
        m_stages.reset();
    });
    AttemptOutcome outcome = co_await attempt.run();
    const bool complete = outcome.result == AttemptOutcome::Result::Responded || outcome.result == AttemptOutcome::Result::Streamed;
    if (complete && outcome.head.isSuccess()) {
        timer.setComplete();
        m_timer->setComplete();
    }
    m_content->recordAttempt(*target, outcome, m_attemptStart, attempt.firstEventTime());
    m_selection->recordEnd(*target, attempt.report());
    // In the order of AttemptOutcome::Result.
    static constexpr std::array<Handler, 10> handlers{&RelayJob::onResponse,    &RelayJob::onStreamEnd,   &RelayJob::onStreamEnd,
                                                      &RelayJob::onNotExecuted, &RelayJob::onUnreachable, &RelayJob::onInputsMissing,
                                                      &RelayJob::onNoResponse,  &RelayJob::onNoResponse,  &RelayJob::onStreamInterrupted,
                                                      &RelayJob::onCancelled};
    co_return co_await (this->*handlers.at(static_cast<std::size_t>(outcome.result)))(outcome);
}

bool RelayJob::acquireRetry()
{
    const bool permitted = m_route->retryable() && m_possibleExecutions < m_route->maxAttempts && remainingTime() > responseMargin;
    return permitted && !m_content->refusesRepeats() && m_context.retryBudget.tryAcquire(m_service->name, m_context.clock.now());
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onResponse(AttemptOutcome &outcome)
{
    ++m_possibleExecutions;
    // Without the target's own statement, a status that denies the execution proves nothing.
    const bool deniesExecution = outcome.head.deniesExecution;
    m_history.runState = deniesExecution ? RunState::Unknown : RunState::Yes;
    m_selection->addTried(m_history.lastTarget);
    if ((deniesExecution || outcome.head.status >= 500) && acquireRetry()) {
        m_completion.recordRetry("target-error", remainingTime());
        co_return NextStep::Retry;
    }
    if (deniesExecution) {
        co_await m_completion.refuse(ResultCode::AnswerInvalid,
                                     "target " + m_history.lastTarget + " responded with HTTP status " + std::to_string(outcome.head.status)
                                         + " and did not state that it did not execute the request");
        co_return NextStep::Done;
    }
    co_await m_sink.sendComplete(outcome.head, outcome.body);
    m_completion.log("answered", outcome.head.status);
    co_return NextStep::Done;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onStreamEnd(AttemptOutcome &outcome)
{
    m_completion.log(outcome.result == AttemptOutcome::Result::Streamed ? "answered" : "caller-closed", outcome.head.status);
    co_return NextStep::Done;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onNotExecuted(AttemptOutcome &)
{
    m_selection->addTried(m_history.lastTarget);
    if (m_history.sends >= maxSends || !m_context.retryBudget.tryAcquire(m_service->name, m_context.clock.now())) {
        m_completion.refusal().retryAfter = overloadRetryAfter;
        co_await m_completion.refuse(ResultCode::Overloaded, "targets refuse requests for service " + m_service->name);
        co_return NextStep::Done;
    }
    m_completion.recordRetry("not-run", remainingTime());
    Asio::steady_timer timer(m_cancellation.strand(), refusedRetryDelay);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    co_return NextStep::Retry;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onUnreachable(AttemptOutcome &)
{
    // The service received nothing, so the retry is not charged to the budget.
    m_selection->addTried(m_history.lastTarget);
    if (m_history.sends >= maxSends) {
        m_completion.refusal().retryAfter = shortRetryAfter;
        co_await m_completion.refuse(ResultCode::NoTarget, "targets of service " + m_service->name + " are unreachable");
        co_return NextStep::Done;
    }
    m_completion.recordRetry("not-reached", remainingTime());
    co_return NextStep::Retry;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onInputsMissing(AttemptOutcome &)
{
    if (!m_stages || m_history.sends > maxStageRestarts || !m_context.retryBudget.tryAcquire(m_service->name, m_context.clock.now())) {
        m_completion.refusal().retryAfter = shortRetryAfter;
        co_await m_completion.refuse(ResultCode::StageUnavailable, "stage results were lost before the target read them");
        co_return NextStep::Done;
    }
    m_completion.recordRetry("inputs-gone", remainingTime());
    m_stages->restart();
    co_return NextStep::Retry;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onNoResponse(AttemptOutcome &outcome)
{
    ++m_possibleExecutions;
    m_selection->addTried(m_history.lastTarget);
    m_history.runState = RunState::Unknown;
    // The attempt timed out only after a retry had been taken from the budget.
    const bool timedOut = outcome.result == AttemptOutcome::Result::TimedOut;
    if (timedOut || acquireRetry()) {
        m_completion.recordRetry(timedOut ? "silent" : "broken", remainingTime());
        co_return NextStep::Retry;
    }
    co_await m_completion.refuse(ResultCode::OutcomeUnknown, "target " + m_history.lastTarget + " did not return a complete response");
    co_return NextStep::Done;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onStreamInterrupted(AttemptOutcome &outcome)
{
    ++m_possibleExecutions;
    m_history.runState = RunState::Unknown;
    m_selection->addTried(m_history.lastTarget);
    if (outcome.result == AttemptOutcome::Result::StreamInterrupted && acquireRetry()) {
        m_completion.recordRetry("resumed", remainingTime());
        startStages();
        co_return NextStep::Retry;
    }
    m_sink.abortStream();
    m_completion.log("cut", 0);
    co_return NextStep::Done;
}

Asio::awaitable<RelayJob::NextStep> RelayJob::onCancelled(AttemptOutcome &outcome)
{
    if (outcome.result == AttemptOutcome::Result::Cancelled) {
        m_history.runState = RunState::Unknown;
    }
    if (m_cancellation.cause() == RefusalCause::CallerClosed) {
        m_completion.log("caller-closed", 0);
        co_return NextStep::Done;
    }
    if (m_progress.started) {
        co_return co_await onStreamInterrupted(outcome);
    }
    if (m_cancellation.cause() == RefusalCause::StopTimeout) {
        co_await m_completion.refuseForStop();
        co_return NextStep::Done;
    }
    co_await m_completion.refuse(m_history.runState == RunState::No ? ResultCode::DeadlineUnreachable : ResultCode::DeadlineExceeded,
                                 "the deadline passed before a response was available");
    co_return NextStep::Done;
}

} // namespace Guavalock

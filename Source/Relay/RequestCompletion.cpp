#include "Relay/RequestCompletion.h"

#include "Decisions/StopPlan.h"
#include "Fleet/RouteRecord.h"
#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Metrics.h"
#include "Relay/ArrivalAdmission.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayLog.h"
#include "Relay/RequestHistory.h"
#include "Relay/ResponseSink.h"
#include "Relay/StopSchedule.h"
#include "Relay/StreamProgress.h"

namespace Guavalock
{

namespace Asio = boost::asio;

using Milliseconds = std::chrono::milliseconds;

RequestCompletion::RequestCompletion(const RelayContext &context, const OpaqueRequest &request, const RequestHistory &history,
                                     const StreamProgress &progress, ResponseSink &sink)
    : m_context(context)
    , m_request(request)
    , m_history(history)
    , m_progress(progress)
    , m_sink(sink)
{
}

void RequestCompletion::setRoute(const RouteRecord *route, std::string configuration)
{
    m_route = route;
    m_configuration = std::move(configuration);
}

void RequestCompletion::setArrival(const ArrivalAdmission *arrival)
{
    m_arrival = arrival;
}

Refusal &RequestCompletion::refusal()
{
    return m_refusal;
}

Asio::awaitable<void> RequestCompletion::refuseForStop()
{
    m_refusal.retryAfter = StopSchedule::retryAfter;
    const std::optional<StopPlan> stop = m_context.stopSchedule.plan();
    const bool isEnd = stop && m_context.clock.now() >= stop->end;
    co_await refuse(ResultCode::Draining,
                    isEnd ? "the daemon is shutting down" : "a run of the request would outlast the daemon's shutdown");
}

Asio::awaitable<void> RequestCompletion::refuse(ResultCode code, std::string reason)
{
    if (m_progress.started) {
        m_sink.abortStream();
        log("cut", 0);
        co_return;
    }
    const std::optional<Milliseconds> retryAfter = m_refusal.retryAfter;
    const bool mayHaveRun = m_history.runState != RunState::No;
    const bool admitsRun = code == ResultCode::DeadlineExceeded || code == ResultCode::AnswerInvalid;
    m_refusal = Refusal::of(mayHaveRun && !admitsRun ? ResultCode::OutcomeUnknown : code, m_history.runState, std::move(reason));
    m_refusal.retryAfter = mayHaveRun ? std::nullopt : retryAfter;
    co_await sendRefusal();
}

Asio::awaitable<void> RequestCompletion::sendRefusal()
{
    m_context.metrics.counter("refusals_total{code=\"" + std::string(resultCodeInfo(m_refusal.code).name) + "\"}").add();
    co_await m_sink.sendRefusal(m_refusal);
    log("refused", 0);
}

void RequestCompletion::recordRetry(std::string_view cause, Milliseconds remaining) const
{
    m_context.metrics.counter("repeats_total{cause=\"" + std::string(cause) + "\"}").add();
    RelayLog::logRepeat(m_request.id, cause, m_history.lastTarget, m_history.sends, remaining);
}

void RequestCompletion::log(std::string_view outcome, unsigned status) const
{
    RelayLog::Completion completion;
    completion.id = m_request.id;
    completion.outcome = outcome;
    completion.status = status;
    completion.refusal = m_refusal;
    completion.configuration = m_configuration;
    completion.target = m_history.lastTarget;
    completion.sends = m_history.sends;
    completion.stagesDuration = m_history.stagesDuration;
    completion.timeToFirstEvent = m_history.timeToFirstEvent;
    completion.elapsed = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - m_request.receivedAt);
    if (m_route != nullptr) {
        completion.route = m_route->name;
        completion.objective = m_route->latencyObjective;
    }
    m_context.metrics.distribution("request_seconds").observe(completion.elapsed);
    if (m_arrival != nullptr && completion.objective) {
        m_arrival->recordEnd(outcome, m_history.timeToFirstEvent.value_or(completion.elapsed) > *completion.objective);
    }
    RelayLog::logCompletion(completion);
}

} // namespace Guavalock

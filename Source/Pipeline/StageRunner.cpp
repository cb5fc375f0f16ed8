#include "Pipeline/StageRunner.h"

#include "Decisions/DeadlineBudget.h"
#include "Decisions/Hash.h"
#include "Decisions/RefusalTable.h"
#include "Flow/AttemptRoute.h"
#include "Flow/Cancellation.h"
#include "Flow/OneShot.h"
#include "Flow/StageCall.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Kernel/Registry.h"
#include "Pipeline/DaemonContext.h"
#include "Pipeline/GenerationSink.h"
#include "Pipeline/RequestContext.h"
#include "Settings/Configuration.h"
#include "Tables/AccountTable.h"
#include "Tables/PoisonTable.h"
#include "Tables/TargetTable.h"

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

std::vector<DeadlineBudget::Stage> budget(const RequestContext &state, std::size_t index, const TargetTable &targets)
{
    std::vector<DeadlineBudget::Stage> stages;
    for (std::size_t it = index; it < state.pipeline.stages.size(); ++it) {
        const StageSettings &stage = state.pipeline.stages[it];
        stages.push_back({stage.deadline, targets.bestCaseDuration(Configuration::poolName(state.request.team, stage.pool))});
    }
    return stages;
}

bool targetWasTried(const AttemptResult &result)
{
    return !result.target.empty() || result.outcome != StageAttemptOutcome::NotSent;
}

} // namespace

StageRunner::StageRunner(const DaemonContext &context, std::vector<AttemptRoute *> routes, TargetCrashHandler onTargetCrash)
    : m_context(context)
    , m_routes(std::move(routes))
    , m_onTargetCrash(std::move(onTargetCrash))
    , m_stages(Registry<Stage>::instance().createAll())
{
}

StageRunner::~StageRunner() = default;

std::optional<StageCall> StageRunner::prepare(const RequestContext &state, std::size_t index, Reason &reason) const
{
    const StageSettings &settings = state.pipeline.stages[index];
    const Stage &stage = *m_stages.at(settings.stage);
    std::optional<boost::json::object> input = stage.input(state.context, settings, reason);
    if (!input) {
        return std::nullopt;
    }
    StageCall call;
    call.requestId = state.request.id;
    call.pool = Configuration::poolName(state.request.team, settings.pool);
    call.model = settings.model;
    call.path = settings.path;
    call.idempotencyKey = state.request.idempotencyKey;
    call.idempotent = settings.idempotent;
    call.requirements.organisation = state.request.organisation;
    call.requirements.weight = state.weight;
    call.requirements.urgent = state.request.urgent;
    call.requirements.affinity = stage.affinity(*input);
    call.input = std::move(*input);
    return call;
}

Asio::awaitable<std::optional<Refusal>> StageRunner::run(RequestContext &state, std::size_t index, TokenSink *caller,
                                                         Cancellation &cancellation)
{
    const StageSettings &settings = state.pipeline.stages[index];
    const Stage &stage = *m_stages.at(settings.stage);
    const bool idempotent = state.pipeline.idempotent();
    const std::vector<DeadlineBudget::Stage> remaining = budget(state, index, m_context.targets);
    const Clock::TimePoint start = m_context.clock.now();
    if (!DeadlineBudget::reachable(remaining, start, state.deadline)) {
        co_return RefusalTable::refusalFor(RefusalCause::DeadlineUnreachable, state.run.state(), idempotent,
                                           "not enough time left for stage " + settings.name);
    }
    Reason reason;
    std::optional<StageCall> call = prepare(state, index, reason);
    if (!call) {
        co_return Refusal::of(reason.code, state.run.state(), reason.text);
    }
    call->requirements.deadline = DeadlineBudget::stageDeadline(remaining, start, state.deadline);
    GenerationSink sink(caller);
    StageRetryPolicy course(settings.idempotent, settings.attempts, start, call->requirements.deadline);
    for (;;) {
        prepareAttempt(*call, state, index, course, sink);
        AttemptResult result = co_await attempt(*call, sink, cancellation);
        if (result.outcome == StageAttemptOutcome::Answered && !complete(stage, result, sink)) {
            result.outcome = StageAttemptOutcome::Invalid;
        }
        charge(state, settings, result);
        state.run.recordAttempt(result.outcome);
        if (result.outcome == StageAttemptOutcome::Answered) {
            m_context.poison.clearSuspect(state.fingerprint);
            if (stage.merge(state.context, std::move(result.output), reason)) {
                co_return std::nullopt;
            }
            result.outcome = StageAttemptOutcome::Invalid;
            result.detail = reason.text;
        }
        if (result.targetDied) {
            co_await recordTargetDeath(state, cancellation);
        }
        const StageRetryPolicy::Action action = afterFailure(state, *call, result, course);
        if (action.step == StageRetryPolicy::Step::Refuse) {
            const std::string detail = "stage " + settings.name + ": " + result.detail;
            co_return RefusalTable::refusalFor(action.cause, state.run.state(), idempotent, detail);
        }
        if (action.step == StageRetryPolicy::Step::Hold) {
            co_await waitForTarget(cancellation);
        }
    }
}

void StageRunner::prepareAttempt(StageCall &call, const RequestContext &state, std::size_t index, const StageRetryPolicy &course,
                                 const GenerationSink &sink) const
{
    call.attemptId = state.request.id + "." + std::to_string(index) + "." + std::to_string(course.attemptNumber());
    call.requirements.suspect = m_context.poison.status(state.fingerprint, m_context.clock.now()) == PoisonTable::Status::Suspect;
    call.position = sink.progress().position();
    call.textSoFar = sink.progress().text();
}

Asio::awaitable<AttemptResult> StageRunner::attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation)
{
    AttemptResult result;
    for (AttemptRoute *it : m_routes) {
        AttemptResult next = co_await it->attempt(call, sink, cancellation);
        // When a later route finds no target either, report the cause of the first route, which is closer to the fault.
        const std::optional<RefusalCause> first = result.cause;
        result = std::move(next);
        if (targetWasTried(result)) {
            co_return result;
        }
        if (first) {
            result.cause = first;
        }
    }
    co_return result;
}

Asio::awaitable<void> StageRunner::waitForTarget(Cancellation &cancellation) const
{
    m_context.metrics.counter("stage_holds_total").add();
    const auto timer = std::make_shared<OneShot<bool>>(cancellation.strand());
    co_await timer->wait(m_context.clock.now() + StageRetryPolicy::holdInterval, cancellation);
}

bool StageRunner::complete(const Stage &stage, AttemptResult &result, const GenerationSink &sink) const
{
    if (!stage.streams()) {
        return true;
    }
    const boost::json::value *tokens = result.output.if_contains("tokens");
    if (tokens == nullptr || tokens->to_number<std::size_t>() != sink.progress().position()) {
        result.detail = "the token count reported by the stream does not match the tokens received";
        return false;
    }
    result.output["text"] = sink.progress().text();
    result.output["checksum"] = Hash::hex(sink.progress().checksum());
    return true;
}

void StageRunner::charge(const RequestContext &state, const StageSettings &stage, const AttemptResult &result) const
{
    const AccountTable::Account account{state.request.organisation, state.request.team, state.request.pipeline, stage.name};
    m_context.accounts.recordAttempt(account, result.outcome, result.duration, {result.tokensIn, result.tokensOut});
}

Asio::awaitable<void> StageRunner::recordTargetDeath(const RequestContext &state, Cancellation &cancellation) const
{
    m_context.metrics.counter("target_deaths_total").add();
    const std::size_t crashes = m_context.poison.recordDeath(state.fingerprint, m_context.clock.now());
    co_await m_onTargetCrash(state.fingerprint, crashes, cancellation);
}

StageRetryPolicy::Action StageRunner::afterFailure(const RequestContext &state, StageCall &call, const AttemptResult &result,
                                                   StageRetryPolicy &course) const
{
    const bool quarantined = m_context.poison.status(state.fingerprint, m_context.clock.now()) == PoisonTable::Status::Quarantined;
    if (result.targetDied && quarantined) {
        return {StageRetryPolicy::Step::Refuse, false, RefusalCause::Quarantined};
    }
    if (!result.target.empty()) {
        call.requirements.avoidedTargets.push_back(Hash::of(result.target));
    }
    const StageRetryPolicy::Attempt attempt{result.outcome, targetWasTried(result), result.cause};
    const StageRetryPolicy::Action action = course.nextAction(attempt, m_context.targets.retryAllowed(call.pool), m_context.clock.now());
    if (action.spendsBudget) {
        m_context.targets.spendRetryToken(call.pool);
    }
    if (action.step == StageRetryPolicy::Step::Retry) {
        m_context.metrics.counter("retries_total").add();
    }
    return action;
}

} // namespace Guavalock

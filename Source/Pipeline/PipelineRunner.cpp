#include "Pipeline/PipelineRunner.h"

#include "Decisions/Hash.h"
#include "Decisions/RefusalTable.h"
#include "Flow/Cancellation.h"
#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Metrics.h"
#include "Pipeline/DaemonContext.h"
#include "Pipeline/KeyClaims.h"
#include "Pipeline/RequestContext.h"
#include "Pipeline/StageRunner.h"
#include "Settings/Configuration.h"
#include "Settings/ProcessSettings.h"
#include "Tables/AccountTable.h"
#include "Tables/ConfigurationTable.h"
#include "Tables/PoisonTable.h"
#include "Tables/RequestTable.h"

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds retryDelay{1'000};

Refusal notRun(ResultCode code, std::string reason)
{
    return {code, RunState::No, std::move(reason), std::nullopt};
}

Refusal notRunNow(ResultCode code)
{
    return {code, RunState::No, std::string(resultCodeInfo(code).meaning), retryDelay};
}

/// Returns whether the outcome of a request counts towards the service objective. Caller errors (1xx) and cancellations do not.
bool countsForObjective(const PipelineResponse &answer)
{
    const unsigned family = resultNumber(answer.refusal.code) / 100;
    return answer.output || (family != 1 && answer.refusal.code != ResultCode::Cancelled);
}

std::uint64_t fingerprint(const PipelineRequest &request, const std::string &key)
{
    const std::string text = request.team + "/" + request.pipeline + "/" + request.organisation + "/" + Hash::hex(request.bodyHash);
    return Hash::of(text, Hash::of(key));
}

} // namespace

PipelineRunner::PipelineRunner(const DaemonContext &context, StageRunner &stages, KeyClaims &keys)
    : m_context(context)
    , m_stages(stages)
    , m_keys(keys)
{
}

std::optional<Refusal> PipelineRunner::prepare(RequestContext &state) const
{
    const PipelineRequest &request = state.request;
    const std::shared_ptr<const Configuration> configuration = m_context.configuration.current();
    if (configuration->nextOffset == 0) {
        return notRunNow(ResultCode::NotConfigured);
    }
    const auto organisation = configuration->organisations.find(request.organisation);
    if (organisation == configuration->organisations.end()) {
        return notRun(ResultCode::UnknownOrganisation, "the organisation '" + request.organisation + "' is not configured");
    }
    const auto pipeline = configuration->pipelines.find(state.pipelineName());
    if (pipeline == configuration->pipelines.end()) {
        return notRun(ResultCode::UnknownPipeline, "no pipeline '" + state.pipelineName() + "' is configured");
    }
    state.pipeline = pipeline->second;
    state.weight = organisation->second.weight;
    state.organisationLimit = organisation->second.requests;
    state.deadline = request.received + request.deadline.value_or(state.pipeline.deadline);
    state.fingerprint = fingerprint(request, m_context.settings.peerKey);
    state.context = request.body;
    if (!state.pipeline.idempotent() && (request.idempotencyKey.empty() || !request.keyIssued)) {
        return notRun(ResultCode::BadIdempotencyKey,
                      "this pipeline is not idempotent; send Idempotency-Key and Idempotency-Issued with the request");
    }
    if (m_context.poison.status(state.fingerprint, m_context.clock.now()) == PoisonTable::Status::Quarantined) {
        return RefusalTable::refusalFor(RefusalCause::Quarantined, RunState::Yes, true,
                                        "targets were lost during earlier runs of this request");
    }
    return std::nullopt;
}

Asio::awaitable<PipelineResponse> PipelineRunner::run(PipelineRequest request, TokenSink *sink, Cancellation &cancellation)
{
    RequestContext state;
    state.request = std::move(request);
    PipelineResponse answer;
    if (std::optional<Refusal> refusal = prepare(state)) {
        answer.refusal = std::move(*refusal);
        count(state, answer);
        co_return answer;
    }
    RequestTable::Reservation place;
    const ResultCode admitted = m_context.requests.admit(state.request.organisation, state.organisationLimit, place);
    if (admitted != ResultCode::Ok) {
        answer.refusal = notRunNow(admitted);
    } else if (state.pipeline.idempotent()) {
        answer = co_await runStages(state, sink, cancellation);
    } else {
        answer = co_await runOnce(state, sink, cancellation);
    }
    count(state, answer);
    co_return answer;
}

Asio::awaitable<PipelineResponse> PipelineRunner::runOnce(RequestContext &state, TokenSink *sink, Cancellation &cancellation)
{
    PipelineResponse answer;
    const std::string key = state.request.organisation + "/" + state.pipelineName() + "/" + state.request.idempotencyKey;
    const bool claimed = co_await m_keys.claim(key, *state.request.keyIssued, state.deadline, cancellation, answer);
    if (!claimed) {
        co_return answer;
    }
    answer = co_await runStages(state, sink, cancellation);
    m_keys.storeResponse(key, answer);
    co_return answer;
}

Asio::awaitable<PipelineResponse> PipelineRunner::runStages(RequestContext &state, TokenSink *sink, Cancellation &cancellation)
{
    PipelineResponse answer;
    const std::size_t n = state.pipeline.stages.size();
    for (std::size_t it = 0; it < n; ++it) {
        TokenSink *stageSink = it + 1 == n ? sink : nullptr;
        if (std::optional<Refusal> refusal = co_await m_stages.run(state, it, stageSink, cancellation)) {
            answer.refusal = std::move(*refusal);
            co_return answer;
        }
    }
    state.context.erase("embedding");
    answer.output = std::move(state.context);
    co_return answer;
}

void PipelineRunner::count(const RequestContext &state, const PipelineResponse &answer) const
{
    const Clock::TimePoint now = m_context.clock.now();
    const ResultCode code = answer.output ? ResultCode::Ok : answer.refusal.code;
    m_context.metrics.counter("requests_total{code=\"" + std::to_string(resultNumber(code)) + "\"}").add();
    m_context.metrics.distribution("request_seconds").observe(now - state.request.received);
    if (countsForObjective(answer) && !state.pipeline.stages.empty()) {
        m_context.accounts.recordRequest(state.pipelineName(), answer.output && now <= state.deadline, now);
    }
}

} // namespace Guavalock

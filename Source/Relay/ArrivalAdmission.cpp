#include "Relay/ArrivalAdmission.h"

#include "Admission/BacklogTable.h"
#include "Batching/StageTimes.h"
#include "Decisions/Hash.h"
#include "Fleet/Catalogue.h"
#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayContext.h"

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace
{

using Verdict = WholeRequestAdmission::Verdict;

std::string inMilliseconds(Clock::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

ArrivalAdmission::ArrivalAdmission(const RelayContext &context, const OpaqueRequest &request, const RouteRecord &route,
                                   const Catalogue &catalogue, unsigned rank)
    : m_context(context)
    , m_request(request)
    , m_route(route)
    , m_catalogue(catalogue)
    , m_rank(rank)
{
}

std::vector<WholeRequestAdmission::Stage> ArrivalAdmission::stages(Clock::TimePoint now) const
{
    std::vector<WholeRequestAdmission::Stage> stages;
    for (std::size_t it = 0; it < m_route.stages.size(); ++it) {
        const StageNode &node = m_route.stages[it];
        WholeRequestAdmission::Stage stage;
        stage.service = node.service;
        stage.dependencies = node.dependencies;
        stage.pieces = it < m_request.pieceCounts.size() ? m_request.pieceCounts[it] : 0;
        stage.typicalTime = m_context.stageTimes.expected(node.service, StageTimes::typicalStageTime, now);
        stage.backlog = m_context.backlogs.find(node.service, m_rank, now);
        if (stage.backlog) {
            stage.typicalTime = StageTimes::typicalStageTime;
        }
        const ServiceRecord *service = m_catalogue.service(node.service);
        if (service != nullptr && service->batch) {
            stage.resultLifetime = service->batch->resultLifetime;
        }
        stages.push_back(std::move(stage));
    }
    return stages;
}

std::optional<Refusal> ArrivalAdmission::refuse(const std::string &answerService, Deadlines deadlines)
{
    const Clock::TimePoint now = m_context.clock.now();
    WholeRequestAdmission::Request request;
    request.stages = stages(now);
    request.answerTime = m_context.stageTimes.expected(answerService, StageTimes::typicalAnswerDelay, now);
    request.objective = deadlines.objective;
    request.firstEventDeadline = deadlines.firstEvent;
    for (const WholeRequestAdmission::Stage &it : request.stages) {
        if (it.pieces > 0 && it.backlog) {
            m_considered.insert(it.service);
            m_context.metrics.distribution("backlog_age_seconds").observe(it.backlog->age);
        }
    }
    const Verdict verdict = WholeRequestAdmission::decide(request, now);
    if (verdict.isAdmitted()) {
        return std::nullopt;
    }
    m_refused = true;
    m_context.metrics.counter("arrival_refusals_total{service=\"" + verdict.service + "\"}").add();
    logRefusal(verdict, deadlines.objective - now);
    Refusal refusal = Refusal::of(ResultCode::Overloaded, RunState::No, "the stage services are overloaded");
    refusal.retryAfter = WholeRequestAdmission::retryAfter(verdict.wait, Hash::of(m_request.id), m_route.timeout);
    return refusal;
}

void ArrivalAdmission::logRefusal(const Verdict &verdict, Clock::Duration left) const
{
    // In the order of Verdict::Cause.
    static constexpr std::array<std::string_view, 4> causeNames{"none", "hopeless", "results-would-expire", "late-under-overload"};
    Log::info("admission", "refused",
              {{"id", m_request.id},
               {"cause", std::string(causeNames.at(static_cast<std::size_t>(verdict.cause)))},
               {"service", verdict.service},
               {"wait_ms", inMilliseconds(verdict.wait)},
               {"expected_ms", inMilliseconds(verdict.expected)},
               {"left_ms", inMilliseconds(left)},
               {"rank", std::to_string(m_rank)}});
}

const std::set<std::string> &ArrivalAdmission::consideredServices() const
{
    return m_considered;
}

std::optional<std::chrono::milliseconds> ArrivalAdmission::retryAfter() const
{
    std::optional<Clock::Duration> longest;
    for (const WholeRequestAdmission::Stage &it : stages(m_context.clock.now())) {
        if (it.pieces > 0 && it.backlog) {
            longest = std::max(longest.value_or(Clock::Duration::zero()), it.backlog->wait);
        }
    }
    if (!longest) {
        return std::nullopt;
    }
    return WholeRequestAdmission::retryAfter(*longest, Hash::of(m_request.id), m_route.timeout);
}

void ArrivalAdmission::recordEnd(std::string_view outcome, bool late) const
{
    if (m_refused || m_considered.empty()) {
        return;
    }
    if (outcome == "refused") {
        m_context.metrics.counter("admission_errors_total{kind=\"refused\"}").add();
    } else if (outcome == "answered" && late) {
        m_context.metrics.counter("admission_errors_total{kind=\"late\"}").add();
    }
}

} // namespace Guavalock

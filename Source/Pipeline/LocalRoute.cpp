#include "Pipeline/LocalRoute.h"

#include "Flow/Cancellation.h"
#include "Flow/StageCall.h"
#include "Kernel/Registry.h"
#include "Pipeline/DaemonContext.h"
#include "Pipeline/SlotAcquirer.h"
#include "Tables/TargetTable.h"
#include "Targets/ConnectionTable.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetExchange.h"
#include "Targets/TargetProbe.h"

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

TargetCall targetCall(const StageCall &call, Clock::TimePoint now)
{
    TargetCall it;
    it.requestId = call.requestId;
    it.attemptId = call.attemptId;
    it.model = call.model;
    it.path = call.path;
    it.idempotencyKey = call.idempotencyKey;
    it.urgent = call.requirements.urgent;
    it.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.requirements.deadline - now);
    it.input = call.input;
    it.position = call.position;
    it.textSoFar = call.textSoFar;
    return it;
}

} // namespace

LocalRoute::LocalRoute(const DaemonContext &context)
    : m_context(context)
    , m_dialects(Registry<TargetDialect>::instance().createAll())
{
}

LocalRoute::~LocalRoute() = default;

Asio::awaitable<AttemptResult> LocalRoute::attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation)
{
    SlotAcquirer acquirer(m_context.targets, m_context.clock);
    const std::variant<Slot, RefusalCause> acquired = co_await acquirer.acquire(call.pool, call.requirements, cancellation);
    if (const RefusalCause *cause = std::get_if<RefusalCause>(&acquired)) {
        AttemptResult none;
        none.outcome = cancellation.cause() ? StageAttemptOutcome::Withdrawn : StageAttemptOutcome::NotSent;
        none.cause = *cause;
        none.detail = "no slot available in pool " + call.pool;
        co_return none;
    }
    const Slot &slot = std::get<Slot>(acquired);
    AttemptResult result = co_await callTarget(slot, call, sink, cancellation);
    const Clock::TimePoint now = m_context.clock.now();
    result.target = slot.target;
    result.duration = now - slot.acquiredAt;
    if (result.load) {
        m_context.targets.applyReport(slot.pool, slot.target, *result.load, now);
    }
    m_context.targets.release(slot, result.outcome, now);
    if (result.outcome == StageAttemptOutcome::Lost) {
        result.targetDied = co_await checkTargetGone(slot, cancellation);
    }
    co_return result;
}

Asio::awaitable<AttemptResult> LocalRoute::callTarget(const Slot &slot, const StageCall &call, TokenSink &sink, Cancellation &cancellation)
{
    const TargetCall wire = targetCall(call, m_context.clock.now());
    TargetExchange exchange(m_context.connections, m_context.responseMemory, cancellation, &sink);
    const TargetExchange::Parameters wanted{slot, *m_dialects.at(slot.dialect), wire, call.idempotent, call.requirements.deadline};
    co_return co_await exchange.run(wanted);
}

Asio::awaitable<bool> LocalRoute::checkTargetGone(const Slot &slot, Cancellation &cancellation)
{
    m_context.connections.closeIdle(slot.address);
    const std::optional<LoadReport> report = co_await TargetProbe::query(cancellation.strand(), slot.address);
    const Clock::TimePoint now = m_context.clock.now();
    if (!report) {
        m_context.targets.probeFailed(slot.pool, slot.target, now);
        co_return true;
    }
    m_context.targets.applyReport(slot.pool, slot.target, *report, now);
    co_return !slot.incarnation.empty() && report->incarnation != slot.incarnation;
}

} // namespace Guavalock

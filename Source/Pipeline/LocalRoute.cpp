#include "Pipeline/LocalRoute.h"

#include "Flow/Cancellation.h"
#include "Flow/StageCall.h"
#include "Kernel/Registry.h"
#include "Pipeline/Services.h"
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
    it.urgent = call.demand.urgent;
    it.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.demand.deadline - now);
    it.input = call.input;
    it.position = call.position;
    it.textSoFar = call.textSoFar;
    return it;
}

} // namespace

LocalRoute::LocalRoute(const Services &services)
    : m_services(services)
    , m_dialects(Registry<TargetDialect>::instance().createAll())
{
}

LocalRoute::~LocalRoute() = default;

Asio::awaitable<AttemptResult> LocalRoute::attempt(const StageCall &call, PartSink &sink, Cancellation &cancellation)
{
    SlotAcquirer acquirer(m_services.targets, m_services.clock);
    const std::variant<Slot, RefusalCause> acquired = co_await acquirer.acquire(call.pool, call.demand, cancellation);
    if (const RefusalCause *cause = std::get_if<RefusalCause>(&acquired)) {
        AttemptResult none;
        none.end = cancellation.cause() ? AttemptEnd::Withdrawn : AttemptEnd::NotSent;
        none.cause = *cause;
        none.detail = "no slot available in pool " + call.pool;
        co_return none;
    }
    const Slot &slot = std::get<Slot>(acquired);
    AttemptResult result = co_await callTarget(slot, call, sink, cancellation);
    const Clock::TimePoint now = m_services.clock.now();
    result.target = slot.target;
    result.took = now - slot.given;
    if (result.load) {
        m_services.targets.reported(slot.pool, slot.target, *result.load, now);
    }
    m_services.targets.release(slot, result.end, now);
    if (result.end == AttemptEnd::Lost) {
        result.targetDied = co_await checkTargetGone(slot, cancellation);
    }
    co_return result;
}

Asio::awaitable<AttemptResult> LocalRoute::callTarget(const Slot &slot, const StageCall &call, PartSink &sink, Cancellation &cancellation)
{
    const TargetCall wire = targetCall(call, m_services.clock.now());
    TargetExchange exchange(m_services.connections, cancellation, &sink);
    const TargetExchange::Wanted wanted{slot, *m_dialects.at(slot.dialect), wire, call.idempotent, call.demand.deadline};
    co_return co_await exchange.run(wanted);
}

Asio::awaitable<bool> LocalRoute::checkTargetGone(const Slot &slot, Cancellation &cancellation)
{
    m_services.connections.drop(slot.address);
    const std::optional<LoadReport> report = co_await TargetProbe::ask(cancellation.strand(), slot.address);
    const Clock::TimePoint now = m_services.clock.now();
    if (!report) {
        m_services.targets.probeFailed(slot.pool, slot.target, now);
        co_return true;
    }
    m_services.targets.reported(slot.pool, slot.target, *report, now);
    co_return !slot.incarnation.empty() && report->incarnation != slot.incarnation;
}

} // namespace Guavalock

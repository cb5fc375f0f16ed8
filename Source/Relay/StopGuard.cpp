#include "Relay/StopGuard.h"

#include "Decisions/StopAdmission.h"
#include "Decisions/StopPlan.h"
#include "Decisions/StopVerdict.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayContext.h"
#include "Relay/StopSchedule.h"

#include <array>

namespace Guavalock
{

StopGuard::StopGuard(const RelayContext &context, const OpaqueRequest &request, std::string route, Clock::TimePoint deadline)
    : m_context(context)
    , m_request(request)
    , m_route(std::move(route))
    , m_deadline(deadline)
{
}

StopVerdict StopGuard::judge(const StopPlan &stop, RouteDurations::Span span, Clock::TimePoint receivedAt) const
{
    const Clock::TimePoint now = m_context.clock.now();
    return StopAdmission::decide(stop, {receivedAt, m_deadline, m_context.routeDurations.upperBound(m_route, span, now)}, now);
}

bool StopGuard::admits() const
{
    const std::optional<StopPlan> stop = m_context.stopSchedule.plan();
    if (!stop) {
        return true;
    }
    const Clock::TimePoint now = m_context.clock.now();
    const StopVerdict verdict = judge(*stop, RouteDurations::Span::Request, now);
    // In the order of StopVerdict.
    static constexpr std::array<std::string_view, 3> verdicts{"certain", "expected", "refused"};
    const std::string name(verdicts.at(static_cast<std::size_t>(verdict)));
    const auto text = [](Clock::Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    const auto expected = m_context.routeDurations.upperBound(m_route, RouteDurations::Span::Request, now);
    m_context.metrics.counter("stop_admissions_total{verdict=\"" + name + "\"}").add();
    Log::info("relay", "stop-admission",
              {{"id", m_request.id},
               {"verdict", name},
               {"route", m_route},
               {"since_stop_ms", text(now - stop->begin)},
               {"left_ms", text(stop->end - now)},
               {"expected_ms", expected ? text(*expected) : ""},
               {"deadline_in_ms", text(m_deadline - now)}});
    return verdict != StopVerdict::Refused;
}

bool StopGuard::outlastsStop() const
{
    const std::optional<StopPlan> stop = m_context.stopSchedule.plan();
    const bool isKnown = stop && m_context.routeDurations.upperBound(m_route, RouteDurations::Span::Run, m_context.clock.now());
    return isKnown && judge(*stop, RouteDurations::Span::Run, m_request.receivedAt) == StopVerdict::Refused;
}

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"
#include "Relay/RouteDurations.h"

#include <string>

namespace Guavalock
{

enum class StopVerdict;
struct OpaqueRequest;
struct RelayContext;
struct StopPlan;

/// Judges one request, which outlives the guard, during a planned stop of the daemon. See StopAdmission.
class StopGuard
{
public:
    StopGuard(const RelayContext &context, const OpaqueRequest &request, std::string route, Clock::TimePoint deadline);

    /// Returns whether the request can be accepted now. Always true while no stop is planned.
    bool admits() const;

    /// Returns whether a run that began now would outlast the stop, as far as the durations of runs are known.
    bool outlastsStop() const;

private:
    StopVerdict judge(const StopPlan &stop, RouteDurations::Span span, Clock::TimePoint receivedAt) const;

    const RelayContext &m_context;
    const OpaqueRequest &m_request;
    std::string m_route;
    Clock::TimePoint m_deadline;
};

} // namespace Guavalock

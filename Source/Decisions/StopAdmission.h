#pragma once

#include "Kernel/Clock.h"

#include <optional>

namespace Guavalock
{

enum class StopVerdict;
struct StopPlan;

/// Decides which requests a daemon still accepts during a planned stop, and which of those that wait it still starts.
///
/// Load balancers and clients with open connections send requests for some seconds after the daemon has reported that it is not ready. A
/// request that may take longer than the daemon has left would be cut off, so it is refused and can be retried at another daemon at once.
class StopAdmission
{
public:
    struct Request {
        Clock::TimePoint receivedAt;
        Clock::TimePoint deadline; ///< The request ends by then in any case.
        std::optional<Clock::Duration> expected; ///< Usual upper bound of the time from now to its end, if known.
    };

    /// An estimate counts only for requests received before `StopPlan::routedUntil`: later ones have a daemon that is not stopping to go
    /// to, so a refusal costs them little, while an estimate that fails costs the answer.
    static StopVerdict decide(const StopPlan &plan, const Request &request, Clock::TimePoint now);
};

} // namespace Guavalock

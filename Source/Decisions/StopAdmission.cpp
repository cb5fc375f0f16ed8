#include "Decisions/StopAdmission.h"

#include "Decisions/StopPlan.h"
#include "Decisions/StopVerdict.h"

namespace Guavalock
{

StopVerdict StopAdmission::decide(const StopPlan &plan, const Request &request, Clock::TimePoint now)
{
    if (request.deadline <= plan.end) {
        return StopVerdict::CertainToEnd;
    }
    if (request.receivedAt >= plan.routedUntil || !request.expected || now + *request.expected > plan.end) {
        return StopVerdict::Refused;
    }
    return StopVerdict::ExpectedToEnd;
}

} // namespace Guavalock

#include "Decisions/Admission.h"

namespace Guavalock
{

ResultCode Admission::decide(const Facts &facts)
{
    if (facts.draining) {
        return ResultCode::Draining;
    }
    if (facts.inProgress >= facts.limit) {
        return ResultCode::Overloaded;
    }
    if (facts.organisationInProgress >= facts.organisationLimit) {
        return ResultCode::OrganisationLimit;
    }
    return ResultCode::Ok;
}

} // namespace Guavalock

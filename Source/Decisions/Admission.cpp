#include "Decisions/Admission.h"

namespace Guavalock
{

ResultCode Admission::decide(const Inputs &inputs)
{
    if (inputs.draining) {
        return ResultCode::Draining;
    }
    if (inputs.inProgress >= inputs.limit) {
        return ResultCode::Overloaded;
    }
    if (inputs.organisationInProgress >= inputs.organisationLimit) {
        return ResultCode::OrganisationLimit;
    }
    return ResultCode::Ok;
}

} // namespace Guavalock

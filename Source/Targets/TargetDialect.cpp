#include "Targets/TargetDialect.h"

#include "Targets/StreamEvent.h"

namespace Guavalock
{

bool TargetDialect::streams() const
{
    return false;
}

std::optional<StreamEvent> TargetDialect::event(std::string_view, std::string_view, Reason &reason) const
{
    reason = {ResultCode::AnswerInvalid, "this dialect has no streams"};
    return std::nullopt;
}

} // namespace Guavalock

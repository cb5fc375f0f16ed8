#include "Targets/TargetDialect.h"

#include "Targets/StreamEvent.h"

namespace Guavalock
{

bool TargetDialect::streams() const
{
    return false;
}

std::optional<StreamEvent> TargetDialect::parseEvent(std::string_view, std::string_view, Reason &reason) const
{
    reason = {ResultCode::AnswerInvalid, "this dialect does not support streaming"};
    return std::nullopt;
}

} // namespace Guavalock

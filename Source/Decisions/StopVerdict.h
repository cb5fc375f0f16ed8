#pragma once

namespace Guavalock
{

/// What a stopping daemon does with a request.
enum class StopVerdict {
    CertainToEnd, ///< Its deadline is before the end of the stop.
    ExpectedToEnd, ///< Requests like it usually end before the stop does.
    Refused,
};

} // namespace Guavalock

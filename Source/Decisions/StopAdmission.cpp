#include "Decisions/StopAdmission.h"

#include <algorithm>

namespace Guavalock
{

bool StopAdmission::accepts(Clock::Duration timeout, std::optional<Clock::Duration> expected, Clock::TimePoint end, Clock::TimePoint now)
{
    return now + std::min(timeout, expected.value_or(timeout)) <= end;
}

} // namespace Guavalock

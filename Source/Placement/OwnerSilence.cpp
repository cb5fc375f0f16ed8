#include "Placement/OwnerSilence.h"

namespace Guavalock
{

namespace
{

constexpr unsigned maxTimeouts = 3; ///< Fewer occur when an owner is only late for a moment.
constexpr std::chrono::milliseconds testInterval{200};

} // namespace

bool OwnerSilence::mayAsk(Clock::TimePoint now)
{
    if (m_timeouts < maxTimeouts) {
        return true;
    }
    if (now < m_nextTest) {
        return false;
    }
    m_nextTest = now + testInterval;
    return true;
}

void OwnerSilence::recordAnswer()
{
    m_timeouts = 0;
}

void OwnerSilence::recordTimeout()
{
    ++m_timeouts;
}

} // namespace Guavalock

#pragma once

#include "Kernel/Clock.h"

namespace Guavalock
{

/// Decides whether a placement owner is asked although it did not answer before.
///
/// Answers the failure of an owner that is frozen or overloaded but still counts as live, for which each request would wait in vain. After
/// a few unanswered queries in a row, only one query at a time tests whether the owner has recovered.
class OwnerSilence
{
public:
    bool mayAsk(Clock::TimePoint now);

    void recordAnswer();
    void recordTimeout();

private:
    unsigned m_timeouts = 0; ///< Since the last answer.
    Clock::TimePoint m_nextTest{};
};

} // namespace Guavalock

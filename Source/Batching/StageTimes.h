#pragma once

#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <map>
#include <string>

namespace Guavalock
{

/// How long steps of recent requests took, by service: a piece from being asked for to its result, or a model call to its first event.
///
/// What was seen loses its weight within seconds, so that a service that is no longer asked is not thought slow. Rank Budgets.
class StageTimes
{
public:
    void observe(const std::string &service, Clock::Duration took, Clock::TimePoint now);

    /// Returns the time to expect, which is never below the usual one.
    Clock::Duration expected(const std::string &service, Clock::Duration usual, Clock::TimePoint now) const;

private:
    struct Seen {
        std::chrono::duration<double> mean{0};
        Clock::TimePoint last;
    };

    mutable RankedMutex m_mutex{LockRank::Budgets};
    std::map<std::string, Seen> m_seen;
};

} // namespace Guavalock

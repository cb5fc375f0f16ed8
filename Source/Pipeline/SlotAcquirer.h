#pragma once

#include "Decisions/RefusalCause.h"
#include "Tables/Slot.h"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <variant>

namespace Guavalock
{

class Cancellation;
class Clock;
class TargetTable;
struct StageRequirements;

/// Acquires slots from a pool, waiting for one when none is free.
class SlotAcquirer
{
public:
    SlotAcquirer(TargetTable &targets, const Clock &clock);

    /// Returns a slot, or the cause when none could be acquired. Waits no longer than until the deadline in the requirements.
    boost::asio::awaitable<std::variant<Slot, RefusalCause>> acquire(std::string pool, const StageRequirements &requirements,
                                                                     Cancellation &cancellation);

private:
    TargetTable &m_targets;
    const Clock &m_clock;
};

} // namespace Guavalock

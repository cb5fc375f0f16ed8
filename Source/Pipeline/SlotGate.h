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
struct StageDemand;

/// Waits for a slot of a pool.
class SlotGate
{
public:
    SlotGate(TargetTable &targets, const Clock &clock);

    /// Returns a slot, or why there is none. Waits at most until the demand's deadline.
    boost::asio::awaitable<std::variant<Slot, RefusalCause>> acquire(std::string pool, const StageDemand &demand,
                                                                     Cancellation &cancellation);

private:
    TargetTable &m_targets;
    const Clock &m_clock;
};

} // namespace Guavalock

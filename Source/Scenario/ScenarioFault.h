#pragma once

#include <chrono>
#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A fault or operator action at a given time.
struct ScenarioFault {
    std::chrono::milliseconds time{0};
    std::string kind; ///< crash, cold, slow, lose, fail, target-out, target-in, centre-out, centre-in, burst, kill-daemon or cut.
    std::string name; ///< Affected target, data centre or daemon; empty for a burst.
    std::chrono::milliseconds duration{1'000}; ///< For temporary faults.

    static const FieldTable<ScenarioFault> &fields();
};

} // namespace Guavalock

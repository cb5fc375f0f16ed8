#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// Result figures of a scenario. Figures marked as violations are zero if all invariants hold.
struct ScenarioOutcome {
    double requests = 0;
    double answered = 0; ///< Answered before the deadline.
    double refusedNotRun = 0;
    double refusedRun = 0;
    double refusedUnknown = 0;
    double refusalMedian = 0; ///< Median milliseconds from arrival to refusal, for requests refused as not run.
    double calls = 0; ///< Calls started by targets.
    double busySeconds = 0; ///< Target time of all calls.
    double wastedSeconds = 0; ///< Target time of calls whose answer reached no caller.
    double deaths = 0; ///< Target crashes caused by poison requests.
    double poisons = 0; ///< Distinct poison requests.
    double smallestShare = 1; ///< Lowest attainment of any organisation.
    double excessAtTurn = 0; ///< Calls over the cold limit that were in progress when a target became cold; no daemon could have known.
    double windowCalls = 0; ///< Calls over a cold target's limit that their sender sent before it had a report of the cold state.

    double coldExceeded = 0; ///< Violation: calls over a cold target's limit although the sending daemon had a report of the cold state.
    double ranTwice = 0; ///< Violation: non-idempotent requests that ran more than once.
    double notRunFalse = 0; ///< Violation: requests refused as not run although a call was started.
    double afterOut = 0; ///< Violation: calls sent to a data centre or target more than 3 s after it was taken out of service.
    double poisonExcess = 0; ///< Violation: target crashes in excess of two per poison request.

    /// Returns the fraction of requests answered before their deadline.
    double attainment() const;

    /// Returns target seconds per request answered before its deadline.
    double cost() const;

    /// Returns a figure by its name in scenario files, or 0 if the name is unknown.
    double figure(const std::string &name) const;

    static std::vector<std::string> figureNames();

    /// Describes each violation that is not zero.
    std::vector<std::string> violations() const;
};

} // namespace Guavalock

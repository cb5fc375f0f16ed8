#pragma once

#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Expected range of an outcome figure, checked in addition to the invariants.
struct ScenarioExpectation {
    std::string figure; ///< Name of a ScenarioOutcome figure.
    double minimum = 0;
    double maximum = 1e18;

    static const FieldTable<ScenarioExpectation> &fields();
};

} // namespace Guavalock

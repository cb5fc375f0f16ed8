#pragma once

#include <cstddef>
#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A data centre of a scenario and its number of daemons.
struct ScenarioDataCentre {
    std::string name;
    std::size_t daemons = 1;

    static const FieldTable<ScenarioDataCentre> &fields();
};

} // namespace Guavalock

#pragma once

#include "Settings/Endpoint.h"

#include <cstddef>
#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A target: a model engine or a service instance.
struct TargetSettings {
    std::string name;
    Endpoint address;
    std::string dataCentre;
    /// Intended number of concurrent calls to a warm target from all daemons of its data centre. Each rounds its share up.
    std::size_t slots = 8;
    std::size_t coldSlots = 1; ///< Intended number of concurrent calls to a cold target from all daemons of its data centre.

    bool operator==(const TargetSettings &) const = default;

    static const FieldTable<TargetSettings> &fields();
};

} // namespace Guavalock

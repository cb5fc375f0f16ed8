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
    std::size_t slots = 8; ///< Concurrent calls to a warm target, over all daemons.
    std::size_t coldSlots = 1; ///< Concurrent calls to a cold target, over all daemons.

    bool operator==(const TargetSettings &) const = default;

    static const FieldTable<TargetSettings> &fields();
};

} // namespace Guavalock

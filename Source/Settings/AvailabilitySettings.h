#pragma once

#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Whether a data centre or target is in service, that is, may receive new work.
struct AvailabilitySettings {
    std::string service; ///< `in` or `out`.

    bool inService() const;

    static const FieldTable<AvailabilitySettings> &fields();
};

} // namespace Guavalock

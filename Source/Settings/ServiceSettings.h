#pragma once

#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Whether a data centre or a target may be given new work.
struct ServiceSettings {
    std::string service; ///< `in` or `out`.

    bool inService() const;

    static const FieldTable<ServiceSettings> &fields();
};

} // namespace Guavalock

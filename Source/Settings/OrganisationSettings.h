#pragma once

#include <cstddef>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// An organisation that sends requests.
struct OrganisationSettings {
    std::size_t weight = 1; ///< Its share of a full pool, relative to the others'.
    std::size_t requests = 2'000; ///< In progress at once in one daemon; more are refused.

    static const FieldTable<OrganisationSettings> &fields();
};

} // namespace Guavalock

#pragma once

#include <cstddef>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Settings of an organisation that sends requests.
struct OrganisationSettings {
    std::size_t weight = 1; ///< Share of a saturated pool, relative to other organisations.
    std::size_t requests = 2'000; ///< Concurrent requests in one daemon; further ones are refused.

    static const FieldTable<OrganisationSettings> &fields();
};

} // namespace Guavalock

#include "Settings/OrganisationSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

const FieldTable<OrganisationSettings> &OrganisationSettings::fields()
{
    static const FieldTable<OrganisationSettings> table = [] {
        FieldTable<OrganisationSettings> it;
        it.optional("weight", &OrganisationSettings::weight, between<std::size_t>(1, 1'000));
        it.optional("requests", &OrganisationSettings::requests, between<std::size_t>(1, 100'000));
        return it;
    }();
    return table;
}

} // namespace Guavalock

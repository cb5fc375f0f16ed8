#include "Settings/ServiceSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

namespace
{

std::optional<std::string> inOrOut(const std::string &it)
{
    if (it == "in" || it == "out") {
        return std::nullopt;
    }
    return "in or out";
}

} // namespace

bool ServiceSettings::inService() const
{
    return service == "in";
}

const FieldTable<ServiceSettings> &ServiceSettings::fields()
{
    static const FieldTable<ServiceSettings> table = [] {
        FieldTable<ServiceSettings> it;
        it.required("service", &ServiceSettings::service, "in or out", SettingsCheck<std::string>(inOrOut));
        return it;
    }();
    return table;
}

} // namespace Guavalock

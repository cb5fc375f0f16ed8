#include "Settings/AvailabilitySettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

namespace
{

std::optional<std::string> checkServiceState(const std::string &it)
{
    if (it == "in" || it == "out") {
        return std::nullopt;
    }
    return "in or out";
}

} // namespace

bool AvailabilitySettings::inService() const
{
    return service == "in";
}

const FieldTable<AvailabilitySettings> &AvailabilitySettings::fields()
{
    static const FieldTable<AvailabilitySettings> table = [] {
        FieldTable<AvailabilitySettings> it;
        it.required("service", &AvailabilitySettings::service, "in or out", SettingsCheck<std::string>(checkServiceState));
        return it;
    }();
    return table;
}

} // namespace Guavalock

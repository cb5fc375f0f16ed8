#include "Settings/TargetSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

namespace
{

constexpr std::size_t maxSlots = 100'000;

} // namespace

const FieldTable<TargetSettings> &TargetSettings::fields()
{
    static const FieldTable<TargetSettings> table = [] {
        FieldTable<TargetSettings> it;
        it.required("name", &TargetSettings::name, "a target name that is unique in the deployment", plainName());
        it.required("address", &TargetSettings::address, "the target's IP address and port");
        it.required("data_centre", &TargetSettings::dataCentre, "the name of the target's data centre", plainName());
        it.optional("slots", &TargetSettings::slots, between<std::size_t>(1, maxSlots));
        it.optional("cold_slots", &TargetSettings::coldSlots, between<std::size_t>(1, maxSlots));
        return it;
    }();
    return table;
}

} // namespace Guavalock

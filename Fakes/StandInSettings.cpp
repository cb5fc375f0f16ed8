#include "StandInSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

const FieldTable<StandInSettings> &StandInSettings::fields()
{
    static const FieldTable<StandInSettings> table = [] {
        FieldTable<StandInSettings> it;
        it.optional("platform_port", &StandInSettings::platformPort, between<std::size_t>(0, 65'535));
        it.optional("targets", &StandInSettings::targets);
        return it;
    }();
    return table;
}

} // namespace Guavalock

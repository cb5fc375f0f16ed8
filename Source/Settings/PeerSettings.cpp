#include "Settings/PeerSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

const FieldTable<PeerSettings> &PeerSettings::fields()
{
    static const FieldTable<PeerSettings> table = [] {
        FieldTable<PeerSettings> it;
        it.required("vm", &PeerSettings::vm, "the name of the peer's VM", plainName());
        it.required("data_centre", &PeerSettings::dataCentre, "the name of the peer's data centre", plainName());
        it.required("address", &PeerSettings::address, "the peer's IP address and peer port");
        return it;
    }();
    return table;
}

} // namespace Guavalock

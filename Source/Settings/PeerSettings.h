#pragma once

#include "Settings/Endpoint.h"

#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Another daemon that this one may call, or this daemon itself.
struct PeerSettings {
    std::string vm;
    std::string dataCentre;
    Endpoint address;

    static const FieldTable<PeerSettings> &fields();
};

} // namespace Guavalock

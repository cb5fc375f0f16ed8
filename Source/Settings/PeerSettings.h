#pragma once

#include "Settings/Endpoint.h"

#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A daemon of the deployment, possibly the local one.
struct PeerSettings {
    std::string vm;
    std::string dataCentre;
    Endpoint address;

    static const FieldTable<PeerSettings> &fields();
};

} // namespace Guavalock

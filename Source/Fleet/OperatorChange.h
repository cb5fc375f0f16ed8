#pragma once

#include "Fleet/RolloutOrder.h"

#include <memory>
#include <string>
#include <variant>

namespace Guavalock
{

class Catalogue;

/// Starts or ends the evacuation of a data centre. Its targets receive no work while it is evacuated.
struct EvacuationChange {
    std::string dataCentre;
    bool evacuated = false;
};

/// The decoded content of one record of the operator topic.
using OperatorChange = std::variant<std::shared_ptr<const Catalogue>, EvacuationChange, RolloutOrder>;

} // namespace Guavalock

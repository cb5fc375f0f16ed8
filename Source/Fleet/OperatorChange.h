#pragma once

#include <memory>
#include <string>
#include <variant>

namespace Guavalock
{

class Catalogue;

/// Asks that targets of a data centre get nothing more, or takes that back.
struct EvacuationChange {
    std::string dataCentre;
    bool evacuated = false;
};

/// What one record of the operator means.
using OperatorChange = std::variant<std::shared_ptr<const Catalogue>, EvacuationChange>;

} // namespace Guavalock

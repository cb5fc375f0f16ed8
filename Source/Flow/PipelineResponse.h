#pragma once

#include "Kernel/Refusal.h"

#include <boost/json/object.hpp>

#include <optional>

namespace Guavalock
{

/// The result of a request: the complete output, or a refusal when there is no output.
struct PipelineResponse {
    std::optional<boost::json::object> output;
    Refusal refusal;
};

} // namespace Guavalock

#pragma once

#include "Kernel/Refusal.h"

#include <boost/json/object.hpp>

#include <optional>

namespace Guavalock
{

/// What a request gets: the whole output, or a refusal when there is none.
struct PipelineAnswer {
    std::optional<boost::json::object> output;
    Refusal refusal;
};

} // namespace Guavalock

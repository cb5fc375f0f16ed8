#pragma once

#include "Kernel/Clock.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace Guavalock
{

/// A caller's request, independent of the protocol it was received over.
struct PipelineRequest {
    std::string id;
    std::string team;
    std::string pipeline;
    std::string organisation;
    bool urgent = true;
    std::optional<std::chrono::milliseconds> deadline; ///< Relative to receipt. The pipeline's deadline applies when empty.
    Clock::TimePoint received{};
    std::string idempotencyKey; ///< Empty when the caller sent none.
    std::optional<Clock::WallTime> keyIssued;
    boost::json::object body;
    std::uint64_t bodyHash = 0;
};

} // namespace Guavalock

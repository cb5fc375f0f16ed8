#pragma once

#include "Kernel/Clock.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace Guavalock
{

/// A caller's request, apart from the protocol it came by.
struct PipelineRequest {
    std::string id;
    std::string team;
    std::string pipeline;
    std::string organisation;
    bool urgent = true;
    std::optional<std::chrono::milliseconds> deadline; ///< From receipt; the pipeline's own when empty.
    Clock::TimePoint received{};
    std::string idempotencyKey; ///< Empty for none.
    std::optional<Clock::WallTime> keyIssued;
    boost::json::object body;
    std::uint64_t bodyHash = 0;
};

} // namespace Guavalock

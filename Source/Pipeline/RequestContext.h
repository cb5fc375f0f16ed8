#pragma once

#include "Decisions/RunStateTracker.h"
#include "Flow/PipelineRequest.h"
#include "Settings/PipelineSettings.h"

#include <string>

namespace Guavalock
{

/// The state of a request while its stages run.
struct RequestContext {
    PipelineRequest request;
    PipelineSettings pipeline;
    std::size_t weight = 1; ///< Scheduling weight of the organisation.
    std::size_t organisationLimit = 0; ///< Maximum number of requests in progress for the organisation.
    Clock::TimePoint deadline{};
    std::uint64_t fingerprint = 0; ///< Identical for a request that is sent again with the same body.
    RunStateTracker run;
    boost::json::object context;

    std::string pipelineName() const
    {
        return request.team + "/" + request.pipeline;
    }
};

} // namespace Guavalock

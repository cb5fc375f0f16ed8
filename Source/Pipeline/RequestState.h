#pragma once

#include "Decisions/RunTracker.h"
#include "Flow/PipelineRequest.h"
#include "Settings/PipelineSettings.h"

#include <string>

namespace Guavalock
{

/// What is known of a request while its stages run.
struct RequestState {
    PipelineRequest request;
    PipelineSettings pipeline;
    std::size_t weight = 1; ///< Of its organisation.
    std::size_t organisationLimit = 0; ///< Requests that its organisation may have in progress.
    Clock::TimePoint deadline{};
    std::uint64_t fingerprint = 0; ///< The same for the same body sent again.
    RunTracker run;
    boost::json::object context;

    std::string pipelineName() const
    {
        return request.team + "/" + request.pipeline;
    }
};

} // namespace Guavalock

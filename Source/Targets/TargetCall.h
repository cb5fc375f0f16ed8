#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <string>

namespace Guavalock
{

/// Parameters of one attempt of a stage, from which a dialect builds the request to a target.
struct TargetCall {
    std::string requestId;
    std::string attemptId; ///< Must be echoed in the response.
    std::string model;
    std::string path; ///< URL path of the service call; only the service dialect uses it.
    std::string idempotencyKey; ///< Empty if there is none.
    bool urgent = false;
    std::chrono::milliseconds remaining{0}; ///< Time left until the deadline of the stage.
    boost::json::object input;
    std::size_t position = 0; ///< Number of tokens already received, when a generation is resumed.
    std::string textSoFar; ///< Text of the tokens already received.
};

} // namespace Guavalock

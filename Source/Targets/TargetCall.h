#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <string>

namespace Guavalock
{

/// One attempt at a stage, as a dialect writes it to a target.
struct TargetCall {
    std::string requestId;
    std::string attemptId; ///< Has to come back in the answer.
    std::string model;
    std::string path; ///< For services.
    std::string idempotencyKey; ///< Empty for none.
    bool urgent = false;
    std::chrono::milliseconds remaining{0}; ///< Until the stage has to end.
    boost::json::object input;
    std::size_t position = 0; ///< Tokens already held of a generation that is resumed.
    std::string textSoFar; ///< The text of those tokens.
};

} // namespace Guavalock

#pragma once

#include "Fleet/TargetLoad.h"
#include "Placement/PlacementQuery.h"

#include <chrono>
#include <optional>
#include <string>

namespace Guavalock
{

/// What a daemon tells the placement owner about one of its requests.
struct PlacementReport {
    enum class Event {
        Placed, ///< The request was sent to a target that the owner has not selected, or to which a former owner has assigned it.
        Started, ///< The target has begun to respond; its prompt has been processed.
        Completed,
        Failed, ///< The target responded with a server error or a malformed response.
        Lost, ///< The target could not be reached, closed the connection or did not respond.
        Abandoned, ///< The request ended for a reason that indicates nothing about the target, or was not sent.
    };

    Event event = Event::Placed;
    PlacementQuery query; ///< Complete in events of type Placed; otherwise only the number and the service are set.
    std::string target; ///< Set in events of type Placed.
    bool started = false; ///< In events of type Placed: the target has already begun to respond.
    std::chrono::microseconds duration{0}; ///< Since the request was sent to the target.
    std::optional<TargetLoad> load; ///< As stated by the target.
};

} // namespace Guavalock

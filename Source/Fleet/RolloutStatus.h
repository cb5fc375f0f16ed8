#pragma once

#include <string>

namespace Guavalock
{

/// The published state of an order to move a service to another version.
struct RolloutStatus {
    enum class State {
        InProgress,
        Completed,
        RolledBack,
    };

    std::string service;
    State state = State::InProgress;
    std::string version; ///< To which the order moves the service.

    bool operator==(const RolloutStatus &) const = default;

    bool isFinal() const
    {
        return state != State::InProgress;
    }
};

} // namespace Guavalock

#pragma once

#include <string_view>

namespace Guavalock
{

/// Whether any target has carried out any part of a request.
enum class RunState {
    No, ///< Proven: no byte of any stage call has left for a target.
    Yes, ///< Every call that left was answered or failed with an answer.
    Unknown, ///< At least one call that left was never answered.
};

/// Returns "no", "yes" or "unknown", the words of the callers' interface.
constexpr std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::No:
        return "no";
    case RunState::Yes:
        return "yes";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

} // namespace Guavalock

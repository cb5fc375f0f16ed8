#pragma once

#include <string_view>

namespace Guavalock
{

/// Whether a target has executed any part of a request.
enum class RunState {
    No, ///< Proven not executed: no byte of any stage call has been sent to a target.
    Yes, ///< Every call that was sent received a response, successful or not.
    Unknown, ///< At least one call that was sent received no response.
};

/// Returns "no", "yes" or "unknown", as used in the caller API.
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

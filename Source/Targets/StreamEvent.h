#pragma once

#include <string>

namespace Guavalock
{

/// One event of a target's stream.
struct StreamEvent {
    enum class Kind {
        Part,
        End,
        Failure,
    };

    Kind kind = Kind::Part;
    bool ownAttempt = true; ///< Whether the event carries the id of the attempt it came for.
    std::size_t position = 0; ///< Of the token, counted from zero; at the end, the number of tokens.
    std::string text;
    std::size_t promptTokens = 0; ///< At the end.
};

} // namespace Guavalock

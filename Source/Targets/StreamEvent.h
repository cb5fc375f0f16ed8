#pragma once

#include <string>

namespace Guavalock
{

/// A parsed event of a target's response stream.
struct StreamEvent {
    enum class Kind {
        GeneratedToken,
        End,
        Failure,
    };

    Kind kind = Kind::GeneratedToken;
    bool matchesAttempt = true; ///< Whether the event carries the id of the current attempt.
    std::size_t position = 0; ///< Zero-based position of the token; for End, the total number of tokens.
    std::string text;
    std::size_t promptTokens = 0; ///< Set for End only.
};

} // namespace Guavalock

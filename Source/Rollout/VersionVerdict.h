#pragma once

#include <string>

namespace Guavalock
{

/// What the evidence says of a new version.
struct VersionVerdict {
    enum class Kind {
        NotEnoughSeen,
        Sound,
        Bad,
    };

    Kind kind = Kind::NotEnoughSeen;
    std::string reason; ///< With the figures that the verdict is based on.
};

} // namespace Guavalock

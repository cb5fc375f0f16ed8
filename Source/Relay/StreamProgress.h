#pragma once

#include "Relay/EventSplitter.h"

namespace Guavalock
{

/// What an answer given in parts has come to; outlives its attempts.
struct StreamProgress {
    bool begun = false; ///< The caller has the head.
    EventSplitter events;
};

} // namespace Guavalock

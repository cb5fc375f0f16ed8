#pragma once

#include "Relay/EventSplitter.h"

namespace Guavalock
{

/// State of a streamed response, kept across attempts.
struct StreamProgress {
    bool started = false; ///< The response headers have been passed to the sink.
    EventSplitter events;
};

} // namespace Guavalock

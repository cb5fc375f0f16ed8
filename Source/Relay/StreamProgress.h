#pragma once

#include "Relay/EventSplitter.h"

#include <string>

namespace Guavalock
{

/// State of a streamed response, kept across attempts.
struct StreamProgress {
    bool started = false; ///< The response headers have been passed to the sink.
    std::string mediaType; ///< Of the response that started the stream.
    EventSplitter events;
};

} // namespace Guavalock

#pragma once

#include <chrono>

namespace Guavalock
{

struct RouteRecord;

/// How long the clients of a streaming route wait for events, and when a stream of a target therefore counts as stalled.
class ClientPatience
{
public:
    /// Returns how long clients wait for the next event of a silent stream, or for its first.
    static std::chrono::milliseconds idleTimeout(const RouteRecord &route);

    /// Returns the time without a complete event after which a stream counts as stalled. A stream that can be resumed is given up while
    /// its client still waits for another target; any other only after its client has left.
    static std::chrono::milliseconds eventTimeout(const RouteRecord &route);
};

} // namespace Guavalock

#pragma once

namespace Guavalock
{

/// Whether the requests of a route may be executed more than once.
enum class ExecutionSemantics {
    Idempotent, ///< May be executed more than once.
    AtMostOnce, ///< Is executed by one target, at most once.
    Stream, ///< Responds with a stream of events; at most once, unless the streams of the route are resumable.
};

} // namespace Guavalock

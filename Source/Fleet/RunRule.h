#pragma once

namespace Guavalock
{

/// What a route says of running its requests more than once.
enum class RunRule {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Runs on one target, once.
    Stream, ///< Answers as a series of events; as AtMostOnce unless the route's streams may be resumed.
};

} // namespace Guavalock

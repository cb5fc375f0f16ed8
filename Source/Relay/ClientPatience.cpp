#include "Relay/ClientPatience.h"

#include "Fleet/RouteRecord.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds minIdleTimeout{2'000}; ///< Clients disconnect from a silent stream after the longest of this time,
constexpr int idleObjectives = 4; ///< this multiple of the route's latency objective,
constexpr int idleGaps = 8; ///< and this multiple of its event gap objective.
constexpr double stalledFraction = 0.75; ///< Of the idle timeout. The rest is for the target that resumes the stream.
constexpr Milliseconds departureMargin{500}; ///< Time in which the disconnection of a client arrives.

} // namespace

Milliseconds ClientPatience::idleTimeout(const RouteRecord &route)
{
    return std::max({minIdleTimeout, idleObjectives * route.latencyObjective, idleGaps * route.eventGapObjective});
}

Milliseconds ClientPatience::eventTimeout(const RouteRecord &route)
{
    const Milliseconds idle = idleTimeout(route);
    return route.resumable ? std::chrono::duration_cast<Milliseconds>(idle * stalledFraction) : idle + departureMargin;
}

} // namespace Guavalock

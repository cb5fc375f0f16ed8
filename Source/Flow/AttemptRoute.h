#pragma once

#include <boost/asio/awaitable.hpp>

namespace Guavalock
{

class Cancellation;
class PartSink;
struct AttemptResult;
struct StageCall;

/// A way to have one attempt at a stage made: at a target of this data centre, or by a peer at one of its own.
class AttemptRoute
{
public:
    virtual ~AttemptRoute() = default;

    /// Makes one attempt. The call and the sink stay valid until the returned operation is done.
    virtual boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, PartSink &sink, Cancellation &cancellation) = 0;
};

} // namespace Guavalock

#pragma once

#include <boost/asio/awaitable.hpp>

namespace Guavalock
{

class Cancellation;
class TokenSink;
struct AttemptResult;
struct StageCall;

/// Executes one attempt at a stage, either on a target in this data centre or through a peer on one of the peer's targets.
class AttemptRoute
{
public:
    virtual ~AttemptRoute() = default;

    /// Executes one attempt. The call and the sink must stay valid until the returned operation completes.
    virtual boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation) = 0;
};

} // namespace Guavalock

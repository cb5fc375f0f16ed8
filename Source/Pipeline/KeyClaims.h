#pragma once

#include "Kernel/Clock.h"
#include "Kernel/Reason.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

class Cancellation;
struct PipelineResponse;

/// Decides whether this daemon may run the request with a given idempotency key.
class KeyClaims
{
public:
    virtual ~KeyClaims() = default;

    /// Claims a key. Returns true when this daemon has the exclusive right to run the request. Otherwise sets the answer to return to
    /// the caller: the stored answer of an earlier run, or a refusal.
    virtual boost::asio::awaitable<bool> claim(const std::string &key, Clock::WallTime issued, Clock::TimePoint deadline,
                                               Cancellation &cancellation, PipelineResponse &answer)
        = 0;

    /// Stores the answer of a run, to be returned when a caller sends the key again.
    virtual void storeResponse(const std::string &key, const PipelineResponse &answer) = 0;
};

} // namespace Guavalock

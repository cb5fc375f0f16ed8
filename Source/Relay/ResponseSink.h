#pragma once

#include "Kernel/Refusal.h"
#include "Relay/UpstreamResponseHead.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace Guavalock
{

/// Writes the response to one opaque request. Coroutines return false when the client has disconnected.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;

    /// Writes a complete response.
    virtual boost::asio::awaitable<bool> sendComplete(const UpstreamResponseHead &head, const std::string &body) = 0;

    /// Starts a response of unknown length; streamed with chunked encoding.
    virtual boost::asio::awaitable<bool> startStream(const UpstreamResponseHead &head) = 0;
    virtual boost::asio::awaitable<bool> sendChunk(const std::string &data) = 0;
    virtual boost::asio::awaitable<bool> finishStream() = 0;

    virtual boost::asio::awaitable<bool> sendRefusal(const Refusal &refusal) = 0;

    /// Resets the connection, so that the client does not mistake a partial response for a complete one.
    virtual void abortStream() = 0;
};

} // namespace Guavalock

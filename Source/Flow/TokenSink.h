#pragma once

#include "Flow/GeneratedToken.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace Guavalock
{

/// Receives the tokens of a generated text as they arrive.
class TokenSink
{
public:
    enum class Next {
        Continue,
        Stop, ///< The sender should abort the stream.
    };

    virtual ~TokenSink() = default;

    /// Consumes tokens. The sender reads no further input until the returned operation completes, which provides backpressure.
    virtual boost::asio::awaitable<Next> accept(std::vector<GeneratedToken> parts) = 0;
};

} // namespace Guavalock

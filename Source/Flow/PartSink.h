#pragma once

#include "Flow/Part.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace Guavalock
{

/// Receives the tokens of a generated text as they arrive.
class PartSink
{
public:
    enum class Next {
        Go,
        Stop, ///< The sender should abort the stream.
    };

    virtual ~PartSink() = default;

    /// Consumes tokens. The sender reads no further input until the returned operation completes, which provides backpressure.
    virtual boost::asio::awaitable<Next> take(std::vector<Part> parts) = 0;
};

} // namespace Guavalock

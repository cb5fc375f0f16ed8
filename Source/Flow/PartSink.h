#pragma once

#include "Flow/Part.h"

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace Guavalock
{

/// Takes the parts of a generated answer as they come.
class PartSink
{
public:
    enum class Next {
        Go,
        Stop, ///< The sender gives up this stream.
    };

    virtual ~PartSink() = default;

    /// Takes parts; the sender reads no more until the returned operation is done.
    virtual boost::asio::awaitable<Next> take(std::vector<Part> parts) = 0;
};

} // namespace Guavalock

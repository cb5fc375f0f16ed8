#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace Guavalock
{

/// Receive buffer of a connection, with a limit. A read fails with boost::beast::http::error::buffer_overflow if the head, a chunk header
/// or the trailer of a message does not fit, which the parser needs as a whole.
class ReadBuffer : public boost::beast::flat_buffer
{
public:
    /// Four times the default limit of request headers. Bodies may be larger, as they are consumed while they are read.
    static constexpr std::size_t defaultBytes = 64 * 1024;

    ReadBuffer();

    /// Raises the limit to the given size if it is lower.
    void ensureLimit(std::size_t bytes);

    /// Returns how many bytes fit in addition to the current ones.
    std::size_t remaining() const;
};

} // namespace Guavalock

#include "Net/ReadBuffer.h"

#include <algorithm>

namespace Guavalock
{

ReadBuffer::ReadBuffer()
    : boost::beast::flat_buffer(defaultBytes)
{
}

void ReadBuffer::ensureLimit(std::size_t bytes)
{
    max_size(std::max(max_size(), bytes));
}

std::size_t ReadBuffer::remaining() const
{
    return max_size() - size();
}

} // namespace Guavalock

#pragma once

#include <atomic>
#include <cstddef>

namespace Guavalock
{

/// Divides the connections that a target accepts among the daemons that keep idle ones. Callable from any thread.
class ConnectionShare
{
public:
    /// Sets how many daemons there are, this one included.
    void setMembers(std::size_t members);

    /// Returns how many idle connections this daemon may keep to a target that accepts a number of them, or any number if zero.
    std::size_t idle(std::size_t accepted) const;

private:
    std::atomic<std::size_t> m_members{1};
};

} // namespace Guavalock

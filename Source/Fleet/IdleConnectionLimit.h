#pragma once

#include <atomic>
#include <cstddef>

namespace Guavalock
{

/// Limits the idle connections of this daemon to its share of the connections that a target accepts. Thread-safe.
class IdleConnectionLimit
{
public:
    /// Sets the number of daemons, including this one.
    void setMemberCount(std::size_t members);

    /// Returns how many idle connections this daemon may keep to a target, given the number of connections that the target accepts
    /// (zero: unlimited).
    std::size_t perTarget(std::size_t accepted) const;

private:
    std::atomic<std::size_t> m_memberCount{1};
};

} // namespace Guavalock

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// Divides the request rate that a cold target can sustain among a few daemons, without communication between them.
class ColdTargetQuota
{
public:
    /// Maximum number of daemons per cold target. With so few, two partitions with disjoint member lists together still stay within the
    /// tolerated rate.
    static constexpr std::size_t maxSenders = 4;

    /// Returns how many requests per second the daemon may send to the target. The member list must include the daemon itself.
    static std::size_t requestsPerSecond(const std::string &target, double rate, const std::string &vm,
                                         const std::vector<std::string> &members);
};

} // namespace Guavalock

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// Divides the rate that a cold target bears among a few daemons, without any exchange between them.
class ColdSenders
{
public:
    static constexpr std::size_t most = 4; ///< Senders for one cold target; so few that two disjoint views stay within the bound.

    /// Returns how many requests a second the daemon may send. Members must hold the daemon's own name.
    static std::size_t share(const std::string &target, double rate, const std::string &vm, const std::vector<std::string> &members);
};

} // namespace Guavalock

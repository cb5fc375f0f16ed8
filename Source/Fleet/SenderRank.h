#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// Selects the daemons that may send to a target whose requests are restricted, without communication between them.
class SenderRank
{
public:
    /// Returns how many members come before the daemon in the target's order, which is the same on all daemons with the same members.
    static std::size_t of(const std::string &vm, const std::string &target, const std::vector<std::string> &members);
};

} // namespace Guavalock

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// Divides a cold target's slots among the daemons of its data centre without coordination.
///
/// Every daemon computes the same division from the fixed list of daemons in its settings, so the shares always add up to the target's
/// slots, whichever daemons are alive. The share of a daemon that is down stays unused. Slots that do not divide evenly go to the
/// daemons that rank highest by a hash of target and daemon name.
class ColdShare
{
public:
    /// Returns how many of the target's slots the daemon may use. The list must contain the daemon itself.
    static std::size_t of(const std::string &target, std::size_t slots, const std::string &daemon, const std::vector<std::string> &daemons);
};

} // namespace Guavalock

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// Divides what a target bears among the daemons of its data centre, without any exchange between them.
///
/// Every daemon works out the same division from the settings' fixed list of daemons, so that shares add up to the whole at all
/// times, whoever is alive. A daemon that is gone leaves its share unused. When there are fewer slots than daemons, the slots go
/// to the daemons that rank highest by a hash of target and daemon.
class ColdShare
{
public:
    /// Returns how many of the target's slots the daemon may use. Daemons must hold the daemon's own name.
    static std::size_t of(const std::string &target, std::size_t slots, const std::string &daemon, const std::vector<std::string> &daemons);
};

} // namespace Guavalock

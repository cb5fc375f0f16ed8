#pragma once

#include "Decisions/LimitShare.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Guavalock
{

/// Divides the request rate that a target takes from all daemons among a few of them, without communication between them.
///
/// The users' rule allows one and a half times the rate, and five requests, within four seconds. The senders' shares add up to the rate
/// itself; what the rule allows beyond it covers unused turns and one sender too many, as when daemons have different views of the members.
class LimitDivision
{
public:
    /// Smallest share of a sender, in requests per second. With less, a sender waits longer for its next turn than most requests can.
    static constexpr double minRequestsPerSecond = 0.4;

    /// Returns how many daemons may send to a target that takes the given rate. More senders can use the rate better, but each may send one
    /// request at any time.
    static std::size_t senders(double requestsPerSecond, std::size_t members);

    /// Returns the share of a daemon, which is empty if the daemon is not among the senders or the members are not known yet. Otherwise
    /// the member list must include the daemon itself.
    static LimitShare share(const std::string &vm, const std::string &target, double requestsPerSecond,
                            const std::vector<std::string> &members);

    /// Returns the share of a daemon that alone sends to the target.
    static LimitShare whole(double requestsPerSecond);
};

} // namespace Guavalock

#include "Fleet/LimitDivision.h"

#include "Fleet/SenderRank.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

// The users' rule.
constexpr double window = 4; // Seconds.
constexpr double toleratedFactor = 1.5;
constexpr double toleratedRequests = 5;

/// Turns that were not used are lost after this time, because targets that are in need should not get them all at once.
constexpr double maxUnusedTime = 1; // Second.

/// Returns the share of each of several senders. The rule holds even if there are as many as `mostSenders`.
LimitShare shareOf(double requestsPerSecond, std::size_t senders, std::size_t mostSenders)
{
    const auto n = static_cast<double>(senders);
    const double allowed = toleratedFactor * window * requestsPerSecond + toleratedRequests;
    const double tolerated = allowed / static_cast<double>(mostSenders) - window * requestsPerSecond / n;
    return {1 / n, std::clamp(tolerated, 1.0, 1 + maxUnusedTime * requestsPerSecond / n)};
}

} // namespace

std::size_t LimitDivision::senders(double requestsPerSecond, std::size_t members)
{
    constexpr double fixedSenders = 3;
    constexpr double sendersPerRate = 0.5;
    const double most = std::min(fixedSenders + std::floor(sendersPerRate * requestsPerSecond), static_cast<double>(members));
    const double wanted = std::max(std::floor(requestsPerSecond / minRequestsPerSecond), 1.0);
    return static_cast<std::size_t>(std::min(wanted, most));
}

LimitShare LimitDivision::share(const std::string &vm, const std::string &target, double requestsPerSecond,
                                const std::vector<std::string> &members)
{
    const std::size_t n = senders(requestsPerSecond, members.size());
    if (n == 0 || SenderRank::of(vm, target, members) >= n) {
        return {};
    }
    return shareOf(requestsPerSecond, n, std::min(n + 1, members.size()));
}

LimitShare LimitDivision::whole(double requestsPerSecond)
{
    return shareOf(requestsPerSecond, 1, 1);
}

} // namespace Guavalock

#pragma once

#include "Rollout/RouteCounts.h"
#include "Rollout/VersionVerdict.h"

namespace Guavalock
{

/// Compares a new version of a service with the others by what all daemons have seen of both in the same period.
///
/// Each route is compared by itself, since a version may be bad on one only. Compared are the shares of failed attempts, of attempts that
/// the target did not accept, and of slow responses. A response is slow if it takes longer than nearly all responses of the other versions.
/// Crashes, network cuts, bursts and slow machines change the shares of both versions and therefore not their difference.
class VersionComparison
{
public:
    /// Judges by all evidence of the period, and by that of the last seconds, since a version may turn bad later.
    static VersionVerdict judge(const CountsByRoute &period, const CountsByRoute &recent);

    /// Returns how many responses of a version were bad: failures, crashes, and responses that are slow for the other versions.
    static std::uint64_t badResponses(const CountsByRoute &period);
};

} // namespace Guavalock

#include "Rollout/VersionComparison.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <optional>
#include <vector>

namespace Guavalock
{

namespace
{

/// Quantile of the normal distribution for the verdict *bad*. It is reached by chance once in 2,000 comparisons; a rollout takes some
/// dozens of comparisons that are largely made of the same evidence.
constexpr double badQuantile = 3.3;
/// Quantile for the verdict *sound*: a version with 44 bad responses in 100 passes less than once in 10,000 rollouts.
constexpr double soundQuantile = 2.6;
/// Fewer bad responses may have one cause, such as a crash of one target with several requests.
constexpr double minBad = 10;
constexpr double badMargin = 0.1; ///< Difference between the shares of two versions that faults of the environment may cause.
/// As above, for targets that don't accept connections: each daemon notices the crash of one of the few new targets by itself.
constexpr double crashMargin = 0.35;
/// Each daemon has to notice a crash itself, at the cost of one attempt. Of the few requests for the new version, these are a larger part,
/// so crashes of the other versions count as many times as these have requests, about the reciprocal of the share.
constexpr double crashFactor = 10;
/// As above, for times that the other versions exceed now and then.
constexpr double slowMargin = 0.2;
constexpr double soundMargin = 0.32; ///< Smaller than the 44 bad responses in 100 of a bad version, less what the others may have.
constexpr double usualShare = 0.95; ///< Of the responses of the other versions that are not slow.
constexpr double frequentShare = 0.05; ///< Routes with fewer of the requests are judged together.
constexpr double minTimes = 20; ///< Responses of the other versions from which the usual times are known.
constexpr double presumedShare = 0.02; ///< Of bad responses of the other versions if there is no evidence of them.

struct Sample {
    double count = 0;
    double bad = 0;

    double share() const
    {
        return count > 0 ? bad / count : presumedShare;
    }
};

struct Interval {
    double lower = 0;
    double upper = 1;
};

/// Returns Wilson's interval of a share, which holds for small counts as well.
Interval interval(const Sample &sample, double quantile)
{
    if (sample.count <= 0) {
        return {};
    }
    const double square = quantile * quantile;
    const double center = (sample.share() + square / (2 * sample.count)) / (1 + square / sample.count);
    const double variance = sample.share() * (1 - sample.share()) / sample.count + square / (4 * sample.count * sample.count);
    const double half = quantile * std::sqrt(variance) / (1 + square / sample.count);
    return {std::max(0.0, center - half), std::min(1.0, center + half)};
}

double sum(const VersionCounts::Histogram &histogram, std::size_t from)
{
    return static_cast<double>(std::accumulate(histogram.begin() + static_cast<std::ptrdiff_t>(from), histogram.end(), std::uint64_t(0)));
}

/// Returns the first bucket of times that are slow for a version.
std::size_t firstSlowBucket(const VersionCounts &counts)
{
    const double all = sum(counts.times, 0);
    if (all < minTimes) {
        return VersionCounts::buckets;
    }
    std::size_t it = 0;
    while (it + 1 < VersionCounts::buckets && sum(counts.times, it) > (1 - usualShare) * all) {
        ++it;
    }
    return it;
}

/// How the share of slow responses takes account of attempts without a response that are not slow yet.
enum class Unfinished {
    Ignored,
    Estimated, ///< Otherwise the responses that have arrived, which are the fast ones, would make a slow version look sound.
};

/// Returns the estimated share of responses that are slow (Kaplan and Meier's estimate). Attempts without a response count as long as it is
/// known that they had none.
double estimateSlowShare(const VersionCounts &counts, std::size_t firstSlow)
{
    double share = 1;
    for (std::size_t it = 0; it < firstSlow; ++it) {
        const double waiting = sum(counts.times, it) + sum(counts.unfinished, it + 1) + static_cast<double>(counts.unfinished[it]) / 2;
        share *= waiting > 0 ? 1 - std::min(1.0, static_cast<double>(counts.times[it]) / waiting) : 1;
    }
    return share;
}

Sample slowResponses(const VersionCounts &counts, std::size_t firstSlow, Unfinished rule)
{
    if (firstSlow >= VersionCounts::buckets) {
        return {sum(counts.times, 0), 0};
    }
    if (rule == Unfinished::Ignored) {
        const double unfinished = sum(counts.unfinished, firstSlow);
        return {sum(counts.times, 0) + unfinished, sum(counts.times, firstSlow) + unfinished};
    }
    // Attempts that have hardly begun add nothing to the certainty of the estimate.
    constexpr std::size_t nearlySlow = 2;
    const double count = sum(counts.times, 0) + sum(counts.unfinished, firstSlow - std::min(firstSlow, nearlySlow));
    return {count, count * estimateSlowShare(counts, firstSlow)};
}

/// What is compared of two versions.
struct Comparison {
    const char *name;
    Sample newVersion;
    Sample otherVersions;
    double margin;

    /// Returns whether the share of the new version exceeds that of the others by more than the margin, taking the variance of both into
    /// account (Newcombe's interval of a difference).
    bool isWorse() const
    {
        const double difference = newVersion.share() - otherVersions.share();
        const double below = newVersion.share() - interval(newVersion, badQuantile).lower;
        const double above = otherVersions.count > 0 ? interval(otherVersions, badQuantile).upper - otherVersions.share() : 0;
        return newVersion.bad >= minBad && difference - std::hypot(below, above) > margin;
    }

    bool isSound() const
    {
        // What is no fault up to the margin may not prevent a sound version from completing.
        return newVersion.count > 0
            && interval(newVersion, soundQuantile).upper < otherVersions.share() + std::max(soundMargin, margin + 0.15);
    }

    std::string text(const std::string &routes) const
    {
        const auto share = [](const Sample &it) {
            return std::to_string(static_cast<std::uint64_t>(it.bad)) + " of " + std::to_string(static_cast<std::uint64_t>(it.count));
        };
        return std::string(name) + " on " + (routes.empty() ? "calls" : routes) + ": " + share(newVersion) + ", other versions "
            + share(otherVersions);
    }
};

Sample failures(const VersionCounts &counts)
{
    return {static_cast<double>(counts.attempts), static_cast<double>(counts.failures)};
}

Sample crashes(const VersionCounts &counts, double factor)
{
    const auto count = static_cast<double>(counts.attempts);
    return {count, std::min(count, static_cast<double>(counts.crashes) * factor)};
}

/// Adds the samples of one route. Those of the other versions count in proportion to the requests of the new one, because the routes have
/// different shares in the requests of both.
void add(Comparison &comparison, const Sample &newVersion, const Sample &otherVersions)
{
    const double share = otherVersions.share();
    const double expected = comparison.otherVersions.share() * comparison.newVersion.count + share * newVersion.count;
    const double count = comparison.newVersion.count + newVersion.count;
    comparison.newVersion = {count, comparison.newVersion.bad + newVersion.bad};
    comparison.otherVersions.count += otherVersions.count;
    comparison.otherVersions.bad = count > 0 ? expected / count * comparison.otherVersions.count : 0;
}

std::array<Comparison, 4> compare(const CountsByRoute &counts, Unfinished rule)
{
    std::array<Comparison, 4> found{{{"failures", {}, {}, badMargin},
                                     {"crashes", {}, {}, crashMargin},
                                     {"slow responses", {}, {}, slowMargin},
                                     {"very slow responses", {}, {}, badMargin}}};
    for (const auto &[route, it] : counts) {
        const std::size_t slow = firstSlowBucket(it.otherVersions);
        // A new version has nothing cached at first, so that moderately longer times prove nothing.
        const std::size_t verySlow = slow + 1;
        add(found[0], failures(it.newVersion), failures(it.otherVersions));
        add(found[1], crashes(it.newVersion, 1), crashes(it.otherVersions, crashFactor));
        add(found[2], slowResponses(it.newVersion, slow, rule), slowResponses(it.otherVersions, slow, rule));
        add(found[3], slowResponses(it.newVersion, verySlow, rule), slowResponses(it.otherVersions, verySlow, rule));
    }
    return found;
}

std::optional<VersionVerdict> findBad(const std::string &name, const CountsByRoute &counts)
{
    for (const Comparison &it : compare(counts, Unfinished::Ignored)) {
        if (it.isWorse()) {
            return VersionVerdict{VersionVerdict::Kind::Bad, it.text(name)};
        }
    }
    return std::nullopt;
}

std::optional<VersionVerdict> findMissing(const std::string &name, const CountsByRoute &counts)
{
    for (const Comparison &it : compare(counts, Unfinished::Estimated)) {
        if (!it.isSound()) {
            return VersionVerdict{VersionVerdict::Kind::NotEnoughSeen, it.text(name)};
        }
    }
    return std::nullopt;
}

using Groups = std::map<std::string, CountsByRoute>;

/// Returns each route by itself, but those with few requests together. On them, a bad version is noticed only if it is bad on most.
Groups frequentRoutes(const CountsByRoute &counts)
{
    const auto attempts = [](const RouteCounts &it) {
        return static_cast<double>(it.newVersion.attempts + it.otherVersions.attempts);
    };
    double all = 0;
    for (const auto &[route, it] : counts) {
        all += attempts(it);
    }
    Groups found;
    CountsByRoute rest;
    double restAttempts = 0;
    for (const auto &[route, it] : counts) {
        const bool isFrequent = attempts(it) >= frequentShare * all;
        (isFrequent ? found[route] : rest)[route] = it;
        restAttempts += isFrequent ? 0 : attempts(it);
    }
    if (restAttempts >= frequentShare * all) {
        found["rare routes"] = rest;
    }
    return found;
}

} // namespace

VersionVerdict VersionComparison::judge(const CountsByRoute &period, const CountsByRoute &recent)
{
    constexpr const char *allRoutes = "all routes";
    for (const CountsByRoute *counts : {&period, &recent}) {
        Groups groups;
        for (const auto &[route, it] : *counts) {
            groups[route] = {{route, it}};
        }
        groups.emplace(allRoutes, *counts);
        for (const auto &[name, it] : groups) {
            if (std::optional<VersionVerdict> bad = findBad(name, it)) {
                return *bad;
            }
        }
    }
    Groups groups = frequentRoutes(period);
    groups.emplace(allRoutes, recent);
    for (const auto &[name, it] : groups) {
        if (std::optional<VersionVerdict> missing = findMissing(name, it)) {
            return *missing;
        }
    }
    return {VersionVerdict::Kind::Sound, compare(period, Unfinished::Ignored).front().text(allRoutes)};
}

std::uint64_t VersionComparison::badResponses(const CountsByRoute &period)
{
    double bad = 0;
    for (const auto &[route, it] : period) {
        bad += static_cast<double>(it.newVersion.failures + it.newVersion.crashes)
            + slowResponses(it.newVersion, firstSlowBucket(it.otherVersions) + 1, Unfinished::Ignored).bad;
    }
    return static_cast<std::uint64_t>(bad);
}

} // namespace Guavalock

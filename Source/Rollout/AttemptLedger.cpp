#include "Rollout/AttemptLedger.h"

namespace Guavalock
{

void AttemptLedger::restart()
{
    m_counts.clear();
    for (auto &[number, attempt] : m_attempts) {
        attempt.isNew = false;
        attempt.isCounted = false;
    }
}

VersionCounts &AttemptLedger::countsOf(CountsByRoute &counts, const Attempt &attempt)
{
    RouteCounts &route = counts[attempt.route];
    return attempt.isNew ? route.newVersion : route.otherVersions;
}

void AttemptLedger::recordSend(std::uint64_t attempt, const std::string &route, bool isNew, bool isCold, Clock::TimePoint now)
{
    m_attempts[attempt] = {route, isNew, !isCold, false, now};
}

void AttemptLedger::recordResponseStart(std::uint64_t attempt, Clock::TimePoint now)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end() || it->second.hasStarted) {
        return;
    }
    it->second.hasStarted = true;
    if (it->second.isCounted) {
        ++countsOf(m_counts, it->second).times[VersionCounts::bucketOf(now - it->second.sent)];
    }
}

std::optional<bool> AttemptLedger::recordEnd(std::uint64_t attempt, AttemptReport::Outcome outcome, Clock::TimePoint now)
{
    using Outcome = AttemptReport::Outcome;
    const auto node = m_attempts.extract(attempt);
    if (!node || !node.mapped().isCounted) {
        return std::nullopt;
    }
    const Attempt &ended = node.mapped();
    const std::size_t bucket = VersionCounts::bucketOf(now - ended.sent);
    switch (outcome) {
    case Outcome::Refused:
    case Outcome::AddressReused:
        return std::nullopt;
    case Outcome::Cancelled:
        if (!ended.hasStarted) {
            ++countsOf(m_counts, ended).unfinished[bucket];
        }
        return std::nullopt;
    case Outcome::Answered:
        if (!ended.hasStarted) {
            ++countsOf(m_counts, ended).times[bucket];
        }
        break;
    case Outcome::Unreachable:
        ++countsOf(m_counts, ended).crashes;
        break;
    case Outcome::Failed:
    case Outcome::ConnectionLost:
    case Outcome::TimedOut:
        ++countsOf(m_counts, ended).failures;
        break;
    }
    ++countsOf(m_counts, ended).attempts;
    return outcome == Outcome::Answered ? std::nullopt : std::optional(ended.isNew);
}

CountsByRoute AttemptLedger::counts(Clock::TimePoint now) const
{
    CountsByRoute counts = m_counts;
    for (const auto &[number, attempt] : m_attempts) {
        if (attempt.isCounted && !attempt.hasStarted) {
            ++countsOf(counts, attempt).unfinished[VersionCounts::bucketOf(now - attempt.sent)];
        }
    }
    return counts;
}

AttemptLedger::InProgress AttemptLedger::inProgress() const
{
    InProgress found;
    for (const auto &[number, attempt] : m_attempts) {
        ++(attempt.isNew ? found.newVersion : found.otherVersions);
    }
    return found;
}

} // namespace Guavalock

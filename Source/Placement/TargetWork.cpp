#include "Placement/TargetWork.h"

#include "Decisions/Hash.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr Seconds ratioMemory{6}; ///< Time constant with which observed ratios count less: a few dozen responses of one target.
constexpr Seconds ratioLifetime{30}; ///< Older ratios don't count at all.
constexpr double usualWeight = 2; ///< Responses that count for the usual speed, so that a single one decides little.
constexpr double maxRatio = 8; ///< Limit of one observed ratio, so that a request that got stuck does not shut a target out.
constexpr std::chrono::milliseconds statedLifetime{600}; ///< Slow phases of shared machines last about this long.
constexpr Seconds untoldDecay{0.5}; ///< Time constant: a request that no owner knows ends within a few of these.
constexpr std::chrono::milliseconds learnedLifetime{200}; ///< Saves the calculation at most decisions; short against ratioMemory.
/// As for single daemons (FleetTarget): about two round trips of a status report. Doubles with every consecutive loss, up to 4 s.
constexpr std::chrono::milliseconds initialSuspicionTime{500};
constexpr double healthWeight = 0.1; ///< Weight of one attempt in the moving average of successes, which covers about ten attempts.

} // namespace

TargetWork::TargetWork(PlacementCandidate candidate)
    : m_candidate(std::move(candidate))
    , m_hash(Hash::of(m_candidate.id))
{
}

void TargetWork::setCandidate(PlacementCandidate candidate)
{
    m_candidate = std::move(candidate);
}

void TargetWork::add(std::size_t tokens, std::size_t privateTokens, std::size_t waitingTokens, Clock::TimePoint now)
{
    if (m_waiting == 0) {
        m_headStart = now;
    }
    ++m_waiting;
    ++m_own.requests;
    m_own.tokens += tokens;
    m_privateTokens += privateTokens;
    m_own.waitingTokens += waitingTokens;
}

void TargetWork::start(std::size_t waitingTokens, Clock::TimePoint now)
{
    m_headStart = now;
    removeWaiting(waitingTokens);
}

void TargetWork::removeWaiting(std::size_t waitingTokens)
{
    m_waiting -= std::min<std::size_t>(m_waiting, 1);
    m_own.waitingTokens -= std::min(m_own.waitingTokens, waitingTokens);
}

void TargetWork::remove(std::size_t tokens, std::size_t privateTokens)
{
    m_own.requests -= std::min<std::size_t>(m_own.requests, 1);
    m_own.tokens -= std::min(m_own.tokens, tokens);
    m_privateTokens -= std::min(m_privateTokens, privateTokens);
}

std::size_t TargetWork::privateTokens() const
{
    return m_privateTokens;
}

void TargetWork::setRemote(const Amount &amount)
{
    m_remote = amount;
}

TargetWork::Amount TargetWork::total(Clock::TimePoint now) const
{
    Amount sum{m_own.requests + m_remote.requests, m_own.tokens + m_remote.tokens, m_own.waitingTokens + m_remote.waitingTokens};
    if (m_untold > 0 && now - m_loadTime < 4 * untoldDecay) {
        const double untold = m_untold * std::exp(-Seconds(now - m_loadTime) / untoldDecay);
        sum.requests += static_cast<std::size_t>(std::lround(untold));
    }
    return sum;
}

void TargetWork::recordRatio(double ratio, Clock::TimePoint now)
{
    const double decay = m_weight == 0 ? 0 : std::exp(-Seconds(now - m_ratioTime) / ratioMemory);
    m_logarithms = m_logarithms * decay + std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
    m_weight = m_weight * decay + 1;
    m_ratioTime = now;
    m_learnedTime = {};
}

void TargetWork::recordHealth(bool good)
{
    m_health += healthWeight * ((good ? 1.0 : 0.0) - m_health);
    m_losses = good ? 0 : m_losses;
}

void TargetWork::recordLoss(Clock::TimePoint now)
{
    recordHealth(false);
    const auto pause = initialSuspicionTime * (1U << std::min(m_losses, 3U));
    m_suspectUntil = now + pause;
    ++m_losses;
}

void TargetWork::recordLoad(const TargetLoad &load, Clock::TimePoint now)
{
    const double stated = static_cast<double>(load.running + load.waiting);
    m_untold = std::max(0.0, stated - static_cast<double>(m_own.requests + m_remote.requests));
    m_loadTime = now;
    m_stated = load.slowdown.value_or(1);
    m_statedUntil = now + statedLifetime;
}

double TargetWork::slowness(Clock::TimePoint now) const
{
    if (now - m_learnedTime > learnedLifetime) {
        const Seconds age = now - m_ratioTime;
        const double decay = age > ratioLifetime ? 0 : std::exp(-age / ratioMemory);
        m_learned = std::exp(m_logarithms * decay / (m_weight * decay + usualWeight));
        m_learnedTime = now;
    }
    return m_learned * statedSlowness(now);
}

} // namespace Guavalock

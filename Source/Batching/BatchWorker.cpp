#include "Batching/BatchWorker.h"

#include "Net/HttpCaller.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double callWeight = 0.5; ///< Smoothing factor of the slowdown; two calls show whether a target is slow.
constexpr double mostSlowness = 20;
constexpr std::chrono::milliseconds foreignTime{800}; ///< Assumed lifetime of untracked results on a target: two stages and an answer.
constexpr std::chrono::seconds steadyTime{2}; ///< Calls that other daemons sent earlier have ended within this time.
constexpr double steadySlowness = 2.0; ///< A call with a greater slowdown has waited behind a call of another daemon.
constexpr Seconds slownessMemory{3}; ///< Time constant of the decay, so that a slow target is retried within a few seconds.

} // namespace

BatchWorker::BatchWorker(TargetPick target)
    : target(std::move(target))
{
}

BatchWorker::~BatchWorker() = default;

double BatchWorker::slowness(Clock::TimePoint now) const
{
    return 1.0 + (m_slowness - 1.0) * std::exp(-Seconds(now - m_lastCall) / slownessMemory);
}

bool BatchWorker::steady(Clock::TimePoint now) const
{
    return now - m_lastCall < steadyTime && m_slowness < steadySlowness;
}

std::uint64_t BatchWorker::roomForCall(std::uint64_t total, Clock::TimePoint now)
{
    m_roomAtStart = room.left(total, now);
    return m_roomAtStart;
}

void BatchWorker::lackedRoom(std::uint64_t madeBytes, Clock::TimePoint now)
{
    room.lacked(m_roomAtStart - std::min(m_roomAtStart, madeBytes), now, now + foreignTime);
}

std::size_t BatchWorker::callLimit(std::size_t batchLimit) const
{
    return m_doubtful ? std::min<std::size_t>(batchLimit, 1) : batchLimit;
}

void BatchWorker::callFailed()
{
    m_doubtful = true;
}

void BatchWorker::callAnswered()
{
    m_doubtful = false;
}

void BatchWorker::callEnded(Clock::Duration took, Clock::Duration expected, Clock::TimePoint now)
{
    const double ratio = std::clamp(Seconds(took) / Seconds(expected), 1.0, mostSlowness);
    m_slowness += callWeight * (ratio - m_slowness);
    m_lastCall = now;
}

} // namespace Guavalock

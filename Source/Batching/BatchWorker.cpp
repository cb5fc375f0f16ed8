#include "Batching/BatchWorker.h"

#include "Net/HttpClient.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double slowdownSmoothing = 0.5; ///< Smoothing factor of the slowdown; after two calls, three quarters of it are new.
constexpr double maxSlowdown = 20; ///< Upper bound of the measured ratio of actual to expected call duration.
constexpr std::chrono::milliseconds untrackedLifetime{
    800}; ///< Assumed lifetime of untracked results on a target: two stages and an answer.
/// If the last call ended within this time and was not queued, no call of another daemon is assumed to occupy the target.
constexpr std::chrono::seconds recentCallWindow{2};
constexpr double maxUnqueuedSlowdown = 2.0; ///< A call with a greater slowdown has waited behind a call of another daemon.
constexpr std::size_t rememberedAnswers = 16; ///< Covers the calls of several seconds.
constexpr Seconds slowdownDecay{3}; ///< Time constant of the decay, so that a slow target is retried within a few seconds.

} // namespace

BatchWorker::BatchWorker(SelectedTarget target)
    : target(std::move(target))
{
}

BatchWorker::~BatchWorker() = default;

double BatchWorker::slowdown(Clock::TimePoint now) const
{
    return 1.0 + (m_slowdown - 1.0) * std::exp(-Seconds(now - m_lastCallEnd) / slowdownDecay);
}

bool BatchWorker::startsImmediately(Clock::TimePoint now) const
{
    return now - m_lastCallEnd < recentCallWindow && m_slowdown < maxUnqueuedSlowdown;
}

std::uint64_t BatchWorker::storageForCall(std::uint64_t total, Clock::TimePoint now)
{
    m_storageAtStart = storage.available(total, now);
    return m_storageAtStart;
}

void BatchWorker::recordStorageExhausted(std::uint64_t storedBytes, Clock::TimePoint now)
{
    storage.addUntracked(m_storageAtStart - std::min(m_storageAtStart, storedBytes), now, now + untrackedLifetime);
}

std::size_t BatchWorker::nextBatchLimit(std::size_t maxBatchSize) const
{
    return m_recovering ? std::min<std::size_t>(maxBatchSize, 1) : maxBatchSize;
}

bool BatchWorker::recordHandles(const std::vector<std::string> &handles)
{
    const bool known = std::ranges::any_of(handles, [this](const std::string &handle) {
        return std::ranges::any_of(m_recentHandles, [&](const auto &answer) { return answer.contains(handle); });
    });
    if (known) {
        return false;
    }
    m_recentHandles.emplace_back(handles.begin(), handles.end());
    if (m_recentHandles.size() > rememberedAnswers) {
        m_recentHandles.pop_front();
    }
    return true;
}

void BatchWorker::recordCallFailure()
{
    m_recovering = true;
}

void BatchWorker::recordCallSuccess()
{
    m_recovering = false;
}

void BatchWorker::recordCallDuration(Clock::Duration duration, Clock::Duration expectedDuration, Clock::TimePoint now)
{
    const double ratio = std::clamp(Seconds(duration) / Seconds(expectedDuration), 1.0, maxSlowdown);
    m_slowdown += slowdownSmoothing * (ratio - m_slowdown);
    m_lastCallEnd = now;
}

} // namespace Guavalock

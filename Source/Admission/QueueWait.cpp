#include "Admission/QueueWait.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace Guavalock
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr double batchSizeSmoothing = 0.1; ///< Smoothing factor of the average batch size; averages over about two calls per target.
constexpr double idleWaitInCalls = 0.1; ///< Expected wait for the next idle target when several are busy, as a fraction of a call.
constexpr Seconds arrivalWindow{1}; ///< Time constant of the arrival rates. Bursts last longer, single requests are shorter.
/// Upper bound of the capacity that is assumed to go to more urgent pieces. Beyond it the wait would depend on noise in the rates only.
constexpr double maxUrgentShare = 0.95;

std::size_t countOf(const std::vector<std::size_t> &counts, std::size_t rank)
{
    return rank < counts.size() ? counts[rank] : 0;
}

} // namespace

void QueueWait::recordArrival(unsigned rank, Clock::TimePoint now)
{
    Arrivals &it = m_arrivals.at(std::min<std::size_t>(rank, QueuedPieces::rankCount - 1));
    it.count = it.count * std::exp(-Seconds(now - it.last) / arrivalWindow) + 1;
    it.last = now;
}

void QueueWait::recordCall(std::size_t pieces, bool emptied, std::size_t maxBatchSize)
{
    const auto average = [](double &mean, std::size_t n) {
        mean = mean == 0 ? static_cast<double>(n) : mean + batchSizeSmoothing * (static_cast<double>(n) - mean);
    };
    average(m_averageBatch, emptied ? maxBatchSize : pieces);
    average(m_averagePieces, pieces);
}

double QueueWait::batchSize(const Capacity &capacity) const
{
    return m_averageBatch > 0 ? m_averageBatch : static_cast<double>(capacity.maxBatchSize);
}

double QueueWait::arrivalRate(std::size_t rank, Clock::TimePoint now) const
{
    const Arrivals &it = m_arrivals.at(rank);
    return it.count * std::exp(-Seconds(now - it.last) / arrivalWindow) / arrivalWindow.count();
}

Clock::Duration QueueWait::behind(std::size_t pieces, const Capacity &capacity) const
{
    const double calls = static_cast<double>(pieces) / batchSize(capacity);
    const Seconds turn(calls / std::max(capacity.callsPerSecond, 1 / Seconds(capacity.callTime).count()));
    return std::chrono::duration_cast<Clock::Duration>(turn + capacity.callTime * idleWaitInCalls);
}

ServiceBacklog QueueWait::backlog(const std::string &service, const QueuedPieces &queued, const Capacity &capacity,
                                  Clock::TimePoint now) const
{
    ServiceBacklog backlog{service, {}, {}, capacity.callTime, {}, capacity.callsPerSecond, now};
    const double piecesPerSecond = std::max(capacity.callsPerSecond, 1 / Seconds(capacity.callTime).count()) * batchSize(capacity);
    std::size_t ahead = 0;
    std::size_t aheadOfLate = std::accumulate(queued.first.begin(), queued.first.end(), std::size_t(0));
    double urgentRate = 0;
    for (std::size_t rank = 0; rank < QueuedPieces::rankCount; ++rank) {
        ahead += countOf(queued.first, rank);
        aheadOfLate += countOf(queued.late, rank);
        const double left = 1 - std::min(maxUrgentShare, urgentRate / piecesPerSecond);
        backlog.waits.push_back(std::chrono::duration_cast<Clock::Duration>(Seconds(behind(ahead, capacity)) / left));
        backlog.lateWaits.push_back(behind(aheadOfLate, capacity));
        urgentRate += arrivalRate(rank, now);
    }
    return backlog;
}

} // namespace Guavalock

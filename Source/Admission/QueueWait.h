#pragma once

#include "Admission/QueuedPieces.h"
#include "Admission/ServiceBacklog.h"
#include "Kernel/Clock.h"

#include <array>
#include <cstddef>
#include <string>

namespace Guavalock
{

/// Estimates how long pieces wait for the targets of one service, on the daemon that batches it. Performs no I/O and reads no clock.
///
/// Guards against two errors: limited result storage keeps batches below the limit of a call, so the observed batch size counts; and
/// a less urgent piece also waits for more urgent ones that arrive later, so their rate of arrival counts.
class QueueWait
{
public:
    /// What the targets of the service can do together.
    struct Capacity {
        std::size_t maxBatchSize = 1;
        Clock::Duration fixedCallTime{0}; ///< Duration of a call without pieces.
        Clock::Duration callTime{0}; ///< Duration of a full call.
        double callsPerSecond = 0;
    };

    void recordArrival(unsigned rank, Clock::TimePoint now);

    /// Records a call that was not limited for other reasons than the queue and the storage of its target.
    ///
    /// @param emptied Whether no pieces were left, so that the call would have taken more.
    void recordCall(std::size_t pieces, bool emptied, std::size_t maxBatchSize);

    /// Returns the wait behind the given number of pieces if no piece arrives later that precedes it.
    Clock::Duration behind(std::size_t pieces, const Capacity &capacity) const;

    /// Returns the backlog to report.
    ServiceBacklog backlog(const std::string &service, const QueuedPieces &queued, const Capacity &capacity, Clock::TimePoint now) const;

    /// Returns how many pieces a call takes while more wait.
    double batchSize(const Capacity &capacity) const;

private:
    /// Counts arrivals with a weight that decays exponentially.
    struct Arrivals {
        double count = 0;
        Clock::TimePoint last;
    };

    double arrivalRate(std::size_t rank, Clock::TimePoint now) const;

    /// Moving average of the batch size; a call that empties the queue counts as a full batch. Zero before the first call.
    double m_averageBatch = 0;
    double m_averagePieces = 0; ///< The same for the pieces that calls actually had.
    std::array<Arrivals, QueuedPieces::rankCount> m_arrivals; ///< By rank.
};

} // namespace Guavalock

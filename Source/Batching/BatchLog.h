#pragma once

#include "Batching/BatchQueue.h"
#include "Batching/StageCodec.h"
#include "Fleet/AttemptReport.h"

#include <string>
#include <vector>

namespace Guavalock
{

class BatchWorker;

/// Writes the log lines of a batch owner.
class BatchLog
{
public:
    /// What led to the refusal of a piece.
    struct Refusal {
        std::size_t queued = 0;
        double batchSize = 0;
        double callsPerSecond = 0;
        Clock::Duration expected{0}; ///< From now to the result.
    };

    /// A call that has been answered.
    struct Call {
        const std::vector<BatchQueue::Entry> &entries;
        const std::vector<StageCodec::PieceResponse> &responses;
        Clock::TimePoint start;
        std::size_t queued = 0; ///< Pieces that wait for the service.
    };

    static void logRefusal(const Piece &piece, const Refusal &refusal, Clock::TimePoint now);
    static void logCall(const std::string &service, const BatchWorker &worker, const Call &call, Clock::TimePoint now);
    static void logFailure(const std::string &service, const BatchWorker &worker, AttemptReport::Outcome outcome);
};

} // namespace Guavalock

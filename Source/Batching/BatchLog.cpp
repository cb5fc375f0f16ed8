#include "Batching/BatchLog.h"

#include "Batching/BatchWorker.h"
#include "Kernel/Log.h"

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace
{

std::string inMilliseconds(Clock::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

void BatchLog::logRefusal(const Piece &piece, const Refusal &refusal, Clock::TimePoint now)
{
    Log::info("batching", "refused",
              {{"id", piece.requestId},
               {"service", piece.service},
               {"queued", std::to_string(refusal.queued)},
               {"batch", std::to_string(static_cast<int>(refusal.batchSize))},
               {"calls_per_s", std::to_string(refusal.callsPerSecond)},
               {"expected_ms", inMilliseconds(refusal.expected)},
               {"wanted_in_ms", inMilliseconds(piece.softDeadline - now)},
               {"rank", std::to_string(piece.rank)}});
}

void BatchLog::logCall(const std::string &service, const BatchWorker &worker, const Call &call, Clock::TimePoint now)
{
    const auto count = [&](StageCodec::PieceResponse::Outcome outcome) {
        return std::to_string(std::ranges::count(call.responses, outcome, &StageCodec::PieceResponse::outcome));
    };
    Clock::TimePoint oldest = call.start;
    for (const BatchQueue::Entry &it : call.entries) {
        oldest = std::min(oldest, it.arrived);
    }
    Log::info("batching", "call",
              {{"service", service},
               {"target", worker.target.id},
               {"pieces", std::to_string(call.entries.size())},
               {"made", count(StageCodec::PieceResponse::Outcome::Completed)},
               {"inputs_gone", count(StageCodec::PieceResponse::Outcome::InputsMissing)},
               {"no_room", count(StageCodec::PieceResponse::Outcome::OutOfStorage)},
               {"oldest_wait_ms", inMilliseconds(call.start - oldest)},
               {"took_ms", inMilliseconds(now - call.start)},
               {"queued", std::to_string(call.queued)}});
}

void BatchLog::logFailure(const std::string &service, const BatchWorker &worker, AttemptReport::Outcome outcome)
{
    constexpr std::array endNames{"answered", "failed", "refused", "moved", "unreachable", "broken", "timed-out", "cancelled"};
    Log::warning("batching", "call-failed",
                 {{"service", service},
                  {"target", worker.target.id},
                  {"end", endNames.at(static_cast<std::size_t>(outcome))},
                  {"pieces", std::to_string(worker.inFlight.size())},
                  {"first_request", worker.inFlight.empty() ? "" : worker.inFlight.front().piece.requestId}});
}

} // namespace Guavalock

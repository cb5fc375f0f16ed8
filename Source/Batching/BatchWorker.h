#pragma once

#include "Batching/BatchQueue.h"
#include "Batching/ResultRoom.h"
#include "Fleet/TargetPick.h"
#include "Kernel/Clock.h"

#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class HttpCaller;

/// One target of a stage service as the batch owner sees it: its call in progress, its results, its speed.
class BatchWorker
{
public:
    explicit BatchWorker(TargetPick target);
    ~BatchWorker();

    /// Returns how many times as long as stated the target's calls take; goes back to one while it gets none.
    double slowness(Clock::TimePoint now) const;

    /// Returns whether the target's last call ended a moment ago and took its time, so that the next one begins when it arrives.
    bool steady(Clock::TimePoint now) const;

    /// Returns the room that a call that begins now may fill, in bytes.
    std::uint64_t roomForCall(std::uint64_t total, Clock::TimePoint now);

    /// The target had no room for a part of the call, and made results of so many bytes. Other results take its room for a time.
    void lackedRoom(std::uint64_t madeBytes, Clock::TimePoint now);

    /// Returns how many pieces the next call may carry: one after a failed call, to learn whether the target is back.
    std::size_t callLimit(std::size_t batchLimit) const;

    void callFailed();

    /// The target has answered a call in full.
    void callAnswered();

    void callEnded(Clock::Duration took, Clock::Duration expected, Clock::TimePoint now);

    TargetPick target;
    bool busy = false;
    Clock::TimePoint holdUntil{}; ///< Nothing is sent before, because the target refused a call.
    std::vector<BatchQueue::Entry> inFlight;
    std::uint64_t calls = 0; ///< Begun so far; tells one call from the next.
    ResultRoom room;
    std::vector<std::string> toFree; ///< Handles to be freed with the next call for that.
    bool freeing = false;
    std::unique_ptr<HttpCaller> batchCaller;
    std::unique_ptr<HttpCaller> freeCaller;

private:
    std::uint64_t m_roomAtStart = 0; ///< When the call in progress began; the target judges its room then.
    bool m_doubtful = false; ///< The last call failed.
    double m_slowness = 1.0;
    Clock::TimePoint m_lastCall{};
};

} // namespace Guavalock

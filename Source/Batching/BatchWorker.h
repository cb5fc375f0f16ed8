#pragma once

#include "Batching/BatchQueue.h"
#include "Batching/ResultStorage.h"
#include "Fleet/SelectedTarget.h"
#include "Kernel/Clock.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

class HttpClient;

/// The state of one target of a stage service as the batch owner tracks it: the call in progress, stored results and speed.
class BatchWorker
{
public:
    explicit BatchWorker(SelectedTarget target);
    ~BatchWorker();

    /// Returns the ratio of the observed to the configured call duration. The returned value decays to one while no
    /// calls are made. The stored value does not decay, and the next call is averaged with it.
    double slowdown(Clock::TimePoint now) const;

    /// Returns whether the target is expected to start the next call on arrival: its last call ended recently and without queueing.
    bool startsImmediately(Clock::TimePoint now) const;

    /// Returns the result storage that is available to a call that starts now, in bytes.
    std::uint64_t storageForCall(std::uint64_t total, Clock::TimePoint now);

    /// Records that the target ran out of result storage after storing the given bytes of a call. The rest counts as occupied by
    /// untracked results for a limited time.
    void recordStorageExhausted(std::uint64_t storedBytes, Clock::TimePoint now);

    /// Returns the maximum batch size of the next call. After a failed call it is one, to test whether the target has recovered.
    std::size_t nextBatchLimit(std::size_t maxBatchSize) const;

    void recordCallFailure();

    /// Records that the target has answered a call completely.
    void recordCallSuccess();

    void recordCallDuration(Clock::Duration duration, Clock::Duration expectedDuration, Clock::TimePoint now);

    /// Records the results that an answer reports. Returns false if one of them was reported before, so that the answer is a late copy
    /// of an earlier one.
    bool recordHandles(const std::vector<std::string> &handles);

    SelectedTarget target;
    bool busy = false;
    Clock::TimePoint backoffUntil{}; ///< End of the back-off after the target refused a call.
    std::vector<BatchQueue::Entry> inFlight;
    std::uint64_t calls = 0; ///< Number of calls started; identifies the current call.
    ResultStorage storage;
    std::vector<std::string> handlesToFree; ///< Results to free with the next free call.
    bool freeing = false;
    std::unique_ptr<HttpClient> batchClient; ///< Null until the first call, and after a response that may belong to another call.
    std::unique_ptr<HttpClient> freeClient; ///< Null until the first call, and after a call that failed.

private:
    std::deque<std::set<std::string>> m_recentHandles; ///< Results of recent answers, latest last.
    std::uint64_t m_storageAtStart = 0; ///< Available storage when the current call started, which is when the target checks it.
    bool m_recovering = false; ///< A call failed, and none has been answered completely since.
    double m_slowdown = 1.0;
    Clock::TimePoint m_lastCallEnd{};
};

} // namespace Guavalock

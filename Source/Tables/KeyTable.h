#pragma once

#include "Decisions/ClaimLedger.h"
#include "Kernel/RankedMutex.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Guavalock
{

struct PipelineResponse;

/// Idempotency keys: the holder of each according to the log, and the state of those that this daemon handles. Lock rank: Claims.
class KeyTable
{
public:
    /// Receives the verdict on a claim. Called without the table's lock.
    using ClaimCallback = std::function<void(ClaimLedger::Verdict)>;

    enum class Status {
        Free, ///< The key is now registered as being claimed by this daemon; the caller has to append the claim.
        InProgress, ///< This daemon is claiming, running or releasing the key.
        Answered, ///< This daemon has run the request and stored its answer.
        HeldElsewhere, ///< A claim that this daemon does not handle holds the key.
    };

    explicit KeyTable(std::chrono::seconds keyLifetime);
    ~KeyTable();

    /// Starts the claim of a key that is free. With Answered, answer is set to the stored answer.
    Status beginClaim(const std::string &key, const std::string &claimId, ClaimCallback onDecided,
                      std::shared_ptr<const PipelineResponse> &answer);

    /// Applies a claim read from the log. Returns true when this daemon's claim won after it was abandoned, so that the key has to be
    /// released.
    bool applyClaim(const ClaimLedger::Claim &claim, Clock::WallTime recorded);

    /// Applies a release read from the log.
    void applyRelease(const std::string &key, const std::string &claimId);

    /// Abandons a claim whose verdict is no longer awaited. Set neverAppended when the claim certainly does not reach the log. Returns
    /// true when the claim has won in the meantime, so that the key has to be released.
    bool abandonClaim(const std::string &key, bool neverAppended);

    /// Stores the answer of a run. If the request was proven not to have run, returns the claim's id instead, so that the key can be
    /// released.
    std::optional<std::string> completeRun(const std::string &key, std::shared_ptr<const PipelineResponse> answer);

    std::size_t size() const;

private:
    static constexpr std::size_t maxStoredAnswers = 20'000;

    struct LocalKey {
        std::string claimId;
        ClaimCallback onDecided;
        bool abandoned = false;
        bool running = false;
        bool releasing = false; ///< Proven not run; the key can be claimed again once the release has been read from the log.
        std::shared_ptr<const PipelineResponse> answer;
    };

    void evictOldestAnswers();

    mutable RankedMutex m_mutex{LockRank::Claims};
    ClaimLedger m_ledger;
    std::map<std::string, LocalKey> m_localKeys;
    std::deque<std::string> m_storedAnswers;
};

} // namespace Guavalock

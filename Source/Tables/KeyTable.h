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

struct PipelineAnswer;

/// Idempotency keys: who holds each in the log's order, and what this daemon has done with those it holds. Rank Claims.
class KeyTable
{
public:
    /// What becomes of a claim that was waited for.
    using Decided = std::function<void(ClaimLedger::Verdict)>;

    enum class Standing {
        Free, ///< The caller goes on to claim the key.
        InProgress, ///< This daemon is claiming, running or releasing it.
        Answered, ///< This daemon has run it and kept the answer.
        Elsewhere, ///< Another daemon holds it.
    };

    explicit KeyTable(std::chrono::seconds life);
    ~KeyTable();

    /// Begins to claim or run a key. With Answered, answer is the one kept.
    Standing begin(const std::string &key, const std::string &claimId, Decided decided, std::shared_ptr<const PipelineAnswer> &answer);

    /// Applies a claim read from the log. Returns true when it won for this daemon after the wait for it was given up; such a key
    /// has to be released.
    bool apply(const ClaimLedger::Claim &claim, Clock::WallTime recorded);

    void applyRelease(const std::string &key, const std::string &claimId);

    /// The wait for a claim was given up. With certain, the claim is known never to reach the log. Returns true when the claim won
    /// meanwhile, so that the key has to be released.
    bool abandon(const std::string &key, bool certain);

    /// Keeps the answer of a run. Returns the claim's id when the run state is proven No, so that the key can be released.
    std::optional<std::string> finished(const std::string &key, std::shared_ptr<const PipelineAnswer> answer);

    std::size_t size() const;

private:
    static constexpr std::size_t maxKept = 20'000;

    struct Local {
        std::string claimId;
        Decided decided;
        bool abandoned = false;
        bool running = false;
        bool releasing = false; ///< Proven not run; another claim may only follow once the release is read back.
        std::shared_ptr<const PipelineAnswer> answer;
    };

    void forgetOldest();

    mutable RankedMutex m_mutex{LockRank::Claims};
    ClaimLedger m_ledger;
    std::map<std::string, Local> m_local;
    std::deque<std::string> m_kept;
};

} // namespace Guavalock

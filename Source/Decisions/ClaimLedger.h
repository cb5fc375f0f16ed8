#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Guavalock
{

/// Who may run each idempotency key: the first claim in the log's order, and no other, ever.
///
/// A pure function of the claims read so far. Claims older than the stated life are forgotten; a claim whose own time of issue
/// is older than that is void, so that a key cannot be claimed again after it was forgotten.
class ClaimLedger
{
public:
    struct Claim {
        std::string id; ///< Unique to the append.
        std::string key;
        std::string claimant; ///< The incarnation of the daemon that wants to run it.
        Clock::WallTime issued; ///< When the caller issued the key.
    };

    enum class Verdict {
        Won,
        Lost, ///< An earlier claim holds the key.
        Expired, ///< The key was issued too long before the record's time.
    };

    explicit ClaimLedger(std::chrono::seconds life);

    /// Applies a claim at the time that the log gave its record, which never decreases.
    Verdict apply(const Claim &claim, Clock::WallTime recorded);

    /// Frees the key of a claim whose holder has proven that it was not run. A claim that does not hold its key frees nothing.
    void release(const std::string &key, const std::string &id);

    /// Returns the id of the winning claim of a key, or nothing when the key is free.
    const std::string *holder(const std::string &key) const;

    std::size_t size() const;

private:
    struct Holder {
        std::string id;
        Clock::WallTime recorded;
    };

    void forget(Clock::WallTime now);

    std::chrono::seconds m_life;
    std::map<std::string, Holder, std::less<>> m_holders;
    std::deque<std::pair<std::string, std::string>> m_order; ///< Keys with the ids of their claims, oldest first.
};

} // namespace Guavalock

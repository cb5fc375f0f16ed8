#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Guavalock
{

/// Decides which claim may run the request of an idempotency key: the first one in the platform log, unless it is released.
///
/// A pure function of the claims and releases read so far. Claims are dropped once they are older than the lifetime. A claim is
/// rejected as expired when its key was issued a lifetime or more before the record's timestamp, so that a key cannot be claimed again
/// after its claim was dropped.
class ClaimLedger
{
public:
    struct Claim {
        std::string id; ///< Unique to the log append.
        std::string key;
        std::string claimant; ///< The incarnation of the claiming daemon.
        Clock::WallTime issued; ///< When the caller issued the key.
    };

    enum class Verdict {
        Won,
        Lost, ///< An earlier claim holds the key.
        Expired, ///< The key was issued a full lifetime or more before the record's timestamp.
    };

    explicit ClaimLedger(std::chrono::seconds lifetime);

    /// Applies a claim with the timestamp that the log assigned to its record. Timestamps must not decrease.
    Verdict apply(const Claim &claim, Clock::WallTime recorded);

    /// Frees a key whose holder has proven that the request was not run. Has no effect when the claim does not hold the key.
    void release(const std::string &key, const std::string &id);

    /// Returns the id of the claim that holds a key, or null when the key is free.
    const std::string *claimOf(const std::string &key) const;

    std::size_t size() const;

private:
    struct AcceptedClaim {
        std::string id;
        Clock::WallTime recorded;
    };

    void removeExpired(Clock::WallTime now);

    std::chrono::seconds m_lifetime;
    std::map<std::string, AcceptedClaim, std::less<>> m_claims;
    std::deque<std::pair<std::string, std::string>> m_claimOrder; ///< Keys and claim ids, oldest first.
};

} // namespace Guavalock

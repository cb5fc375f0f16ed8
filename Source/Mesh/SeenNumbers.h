#pragma once

#include "Fleet/EvidenceOrigin.h"
#include "Kernel/Clock.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Guavalock
{

/// Remembers which numbered messages of other daemons have been received, so that a hub forwards each of them once. What the messages
/// contain doesn't matter: memory of contents is bounded, and what has been evicted would count as new and circulate.
///
/// Numbers of one daemon may arrive out of order, because they take several ways. One that is `window` below the highest counts as
/// received.
class SeenNumbers
{
public:
    static constexpr std::size_t window = 1'024; ///< Numbers that a daemon sends in at least 50 s.
    static constexpr std::size_t maxOrigins = 4'096; ///< Far more than a fleet has; the one that was silent for the longest is forgotten.

    /// Records a message. Returns whether it had not been recorded.
    bool insert(const EvidenceOrigin &origin, Clock::TimePoint now);

    std::size_t originCount() const;

private:
    struct Origin {
        std::uint64_t highest = 0;
        std::bitset<window> recent; ///< By number modulo `window`, for numbers up to the highest.
        Clock::TimePoint lastReceived;
    };

    void limitOrigins();

    std::map<std::pair<std::string, std::string>, Origin> m_origins; ///< By daemon and incarnation.
};

} // namespace Guavalock

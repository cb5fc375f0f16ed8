#pragma once

#include "Fleet/Evidence.h"
#include "Kernel/Clock.h"
#include "Mesh/SeenNumbers.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

/// Decides what a daemon does with evidence: which frames it merges and forwards, how its own is divided into frames, and what a snapshot
/// contains.
///
/// Hubs used to forward what their own memory considered new. Memory is bounded and times change with the transit, so hubs that were linked
/// to each other forwarded the same evidence without end.
class EvidenceRelay
{
public:
    static constexpr std::size_t maxSnapshotBytes = 64 * 1024;
    /// Several frames fit into the 64 KiB that can wait at a link, so that a new one doesn't displace all others.
    static constexpr std::size_t maxFrameBytes = 16 * 1024;

    /// The arguments identify this daemon.
    EvidenceRelay(std::string vm, std::string incarnation);

    /// Evidence of another daemon that is forwarded as it is.
    struct Forward {
        Evidence evidence;
        std::set<std::string> knownBy; ///< The daemons from which it has arrived, which needn't be sent it.
    };

    /// Returns whether evidence that the daemon `from` has sent is to be merged, and if it has an origin forwarded: it is a snapshot, or
    /// has arrived for the first time and isn't this daemon's own.
    bool accept(const EvidenceOrigin &origin, const std::string &from, Clock::TimePoint now);

    /// Keeps evidence that was accepted until takeForwards(). What arrives again until then is not sent back. Hubs receive the same
    /// evidence from several hubs within a short time.
    void forward(const Evidence &evidence, const std::string &from);

    std::vector<Forward> takeForwards();

    /// Divides evidence that this daemon originates into frames with an origin.
    std::vector<Evidence> number(const Evidence &evidence);

    /// Returns the part of a snapshot that fits into `maxSnapshotBytes` when encoded: quarantines and limits, then the newest crashes, each
    /// with the responses to its contents, without which these would seem guilty.
    static Evidence limitSnapshot(const Evidence &evidence);

private:
    std::string m_vm;
    std::string m_incarnation;
    std::uint64_t m_lastNumber = 0;
    SeenNumbers m_seen;
    std::vector<Forward> m_forwards;
};

} // namespace Guavalock

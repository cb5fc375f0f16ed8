#pragma once

#include "Fleet/RecordUpdate.h"
#include "Kernel/RankedMutex.h"

#include <cstddef>
#include <vector>

namespace Guavalock
{

/// Updates that peers have sent and that wait to be applied. Answers to peers that send faster than a busy daemon applies. Lock rank:
/// Configuration.
///
/// Of each topic there is at most one complete update, the newest, and a few others. Others are dropped beyond that: they begin at a
/// position that this daemon has requested, and it requests again what it has not applied.
class PeerUpdates
{
public:
    static constexpr std::size_t maxPartial = 8; ///< By topic. Few daemons are asked at a time.

    /// Adds an update. Returns whether there was none, so that the caller has to arrange for take(). Thread-safe.
    bool add(RecordUpdate update);

    /// Returns all updates and forgets them; complete ones come first. Thread-safe.
    std::vector<RecordUpdate> take();

private:
    RankedMutex m_mutex{LockRank::Configuration};
    std::vector<RecordUpdate> m_complete;
    std::vector<RecordUpdate> m_partial;
};

} // namespace Guavalock

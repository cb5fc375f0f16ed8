#pragma once

#include "Fleet/KeyedRecord.h"
#include "Fleet/Topic.h"
#include "Kernel/Clock.h"

#include <vector>

namespace Guavalock
{

/// Records of one topic, read from the store or received from a peer.
struct RecordUpdate {
    Topic topic = Topic::Operator;
    std::vector<KeyedRecord> records;
    std::uint64_t next = 0; ///< End offset: after this update, all records before it are known.
    Clock::TimePoint confirmed; ///< When this was the state of the store.
    bool complete = false; ///< Keys that are not among the records have been deleted.
};

} // namespace Guavalock

#pragma once

#include "Fleet/KeyedRecord.h"
#include "Fleet/Topic.h"
#include "Kernel/Clock.h"

#include <vector>

namespace Guavalock
{

/// Records of one topic, as read from the store or passed on by a peer.
struct RecordUpdate {
    Topic topic = Topic::Operator;
    std::vector<KeyedRecord> records;
    std::uint64_t next = 0; ///< Everything before this offset is known with these records.
    Clock::TimePoint confirmed; ///< When that was so at the store.
    bool complete = false; ///< Keys that are not among the records have been dropped.
};

} // namespace Guavalock

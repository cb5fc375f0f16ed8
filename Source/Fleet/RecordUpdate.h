#pragma once

#include "Fleet/KeyedRecord.h"
#include "Fleet/Topic.h"
#include "Kernel/Clock.h"

#include <vector>

namespace Guavalock
{

/// Records of one topic, read from the store or received from a peer.
struct RecordUpdate {
    /// A record of an earlier era that the store lacks. Its writer may write it again until the given time.
    struct HeldRecord {
        KeyedRecord record;
        Clock::TimePoint until;
    };

    Topic topic = Topic::Operator;
    std::vector<KeyedRecord> records;
    std::uint64_t next = 0; ///< End offset: after this update, all records before it are known.
    Clock::TimePoint confirmed; ///< When this was the state of the store.
    bool complete = false; ///< Keys that are not among the records have been deleted.
    std::uint64_t era = 0; ///< Of the store.
    std::vector<HeldRecord> held; ///< Of the sender; in complete updates only.
};

} // namespace Guavalock

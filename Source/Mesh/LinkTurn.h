#pragma once

#include "Fleet/RecordPosition.h"
#include "Fleet/Topic.h"
#include "Peer/SharedFrame.h"

#include <optional>
#include <vector>

namespace Guavalock
{

/// The records that the receiver of a link has requested.
struct RecordWant {
    Topic topic = Topic::Operator;
    RecordPosition from;
    bool compressed = false; ///< Whether the receiver decodes compressed frames.

    bool operator==(const RecordWant &) const = default;
};

/// What a link does next. At most one of the members is set.
struct LinkTurn {
    std::vector<SharedFrame> frames; ///< To write in one operation.
    bool snapshot = false; ///< A snapshot of the evidence is to be built and queued.
    std::optional<RecordWant> records; ///< An update is to be built and offered.
    bool isBlocked = false; ///< There are requests for records, but the budget has no room for them at present.
};

} // namespace Guavalock

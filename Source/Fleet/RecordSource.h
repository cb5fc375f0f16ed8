#pragma once

#include <string>

namespace Guavalock
{

/// Where a daemon obtains the records of a topic.
struct RecordSource {
    std::string vm; ///< The daemon to request them from; empty if they are read from the store.
    unsigned hops = 0; ///< Number of daemons, including that one, through which the records come from the store.
};

} // namespace Guavalock

#pragma once

#include "Kernel/LockRank.h"

#include <mutex>

namespace Guavalock
{

/// A mutex with a place in the stated lock order.
///
/// Satisfies the standard Lockable requirements, so that std::scoped_lock works with it. When the build defines
/// GUAVALOCK_CHECK_LOCKS, locking against the order of LockRank writes both ranks to standard error and aborts.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank);

    RankedMutex(const RankedMutex &) = delete;
    RankedMutex &operator=(const RankedMutex &) = delete;

    void lock();
    bool try_lock(); // NOLINT(readability-identifier-naming): the name that std::scoped_lock expects
    void unlock();

private:
    LockRank m_rank;
    std::mutex m_mutex;
};

} // namespace Guavalock

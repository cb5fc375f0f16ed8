#pragma once

#include "Kernel/LockRank.h"

#include <mutex>

namespace Guavalock
{

/// A mutex with a rank in the lock order.
///
/// Satisfies the Lockable requirements and works with std::scoped_lock. If GUAVALOCK_CHECK_LOCKS is defined, a violation of the
/// order stated by LockRank writes both ranks to standard error and aborts.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank);

    RankedMutex(const RankedMutex &) = delete;
    RankedMutex &operator=(const RankedMutex &) = delete;

    void lock();
    bool try_lock(); // NOLINT(readability-identifier-naming): name required by Lockable
    void unlock();

private:
    LockRank m_rank;
    std::mutex m_mutex;
};

} // namespace Guavalock

#include "Kernel/RankedMutex.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace Guavalock
{

namespace
{

#ifdef GUAVALOCK_CHECK_LOCKS
thread_local std::vector<LockRank> heldRanks;

void checkLockOrder(LockRank acquired)
{
    if (heldRanks.empty() || heldRanks.back() < acquired) {
        return;
    }
    std::fprintf(stderr, "lock order violation: acquiring rank %d while holding rank %d\n", static_cast<int>(acquired),
                 static_cast<int>(heldRanks.back()));
    std::abort();
}

void recordLocked(LockRank rank)
{
    heldRanks.push_back(rank);
}

void recordUnlocked(LockRank rank)
{
    std::erase(heldRanks, rank);
}
#else
void checkLockOrder(LockRank)
{
}

void recordLocked(LockRank)
{
}

void recordUnlocked(LockRank)
{
}
#endif

} // namespace

RankedMutex::RankedMutex(LockRank rank)
    : m_rank(rank)
{
}

void RankedMutex::lock()
{
    checkLockOrder(m_rank);
    m_mutex.lock();
    recordLocked(m_rank);
}

bool RankedMutex::try_lock()
{
    checkLockOrder(m_rank);
    if (!m_mutex.try_lock()) {
        return false;
    }
    recordLocked(m_rank);
    return true;
}

void RankedMutex::unlock()
{
    recordUnlocked(m_rank);
    m_mutex.unlock();
}

} // namespace Guavalock

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

void checkOrder(LockRank wanted)
{
    if (heldRanks.empty() || heldRanks.back() < wanted) {
        return;
    }
    std::fprintf(stderr, "lock order broken: rank %d wanted while rank %d is held\n", static_cast<int>(wanted),
                 static_cast<int>(heldRanks.back()));
    std::abort();
}

void noteLocked(LockRank rank)
{
    heldRanks.push_back(rank);
}

void noteUnlocked(LockRank rank)
{
    std::erase(heldRanks, rank);
}
#else
void checkOrder(LockRank)
{
}

void noteLocked(LockRank)
{
}

void noteUnlocked(LockRank)
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
    checkOrder(m_rank);
    m_mutex.lock();
    noteLocked(m_rank);
}

bool RankedMutex::try_lock()
{
    checkOrder(m_rank);
    if (!m_mutex.try_lock()) {
        return false;
    }
    noteLocked(m_rank);
    return true;
}

void RankedMutex::unlock()
{
    noteUnlocked(m_rank);
    m_mutex.unlock();
}

} // namespace Guavalock

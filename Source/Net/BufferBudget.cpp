#include "Net/BufferBudget.h"

namespace Guavalock
{

BufferBudget::Share::Share(BufferBudget &budget)
    : m_budget(budget)
{
}

BufferBudget::Share::~Share()
{
    m_budget.m_taken -= m_taken;
}

bool BufferBudget::Share::grow(std::size_t bytes)
{
    if (bytes <= freeBytes + m_taken) {
        return true;
    }
    const std::size_t more = bytes - freeBytes - m_taken;
    if (m_budget.m_taken.fetch_add(more) + more > totalBytes) {
        m_budget.m_taken -= more;
        return false;
    }
    m_taken += more;
    return true;
}

} // namespace Guavalock

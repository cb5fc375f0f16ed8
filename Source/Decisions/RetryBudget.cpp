#include "Decisions/RetryBudget.h"

#include <algorithm>

namespace Guavalock
{

void RetryBudget::succeeded()
{
    m_tokens = std::min(capacity, m_tokens + earnedBySuccess);
}

bool RetryBudget::available() const
{
    return m_tokens >= 1.0;
}

void RetryBudget::spend()
{
    m_tokens -= 1.0;
}

double RetryBudget::tokens() const
{
    return m_tokens;
}

} // namespace Guavalock

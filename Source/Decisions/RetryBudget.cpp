#include "Decisions/RetryBudget.h"

#include <algorithm>

namespace Guavalock
{

void RetryBudget::recordSuccess()
{
    m_tokens = std::min(capacity, m_tokens + tokensPerSuccess);
}

bool RetryBudget::hasToken() const
{
    return m_tokens >= 1.0;
}

void RetryBudget::takeToken()
{
    m_tokens -= 1.0;
}

double RetryBudget::tokens() const
{
    return m_tokens;
}

} // namespace Guavalock

#include "Fleet/RepeatBudget.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr double allowancePart = 0.5; ///< Of the allowance that is handed out; the rest is for daemons not yet known.

} // namespace

RepeatBudget::RepeatBudget(Terms terms)
    : m_terms(terms)
{
}

void RepeatBudget::setTerms(Terms terms)
{
    const std::scoped_lock lock(m_mutex);
    m_terms = terms;
}

void RepeatBudget::setMembers(std::size_t members)
{
    const std::scoped_lock lock(m_mutex);
    m_members = std::max<std::size_t>(members, 1);
}

RepeatBudget::Account &RepeatBudget::account(const std::string &service)
{
    return m_accounts.try_emplace(service, Account{SendWindow(m_terms.window), SendWindow(m_terms.window)}).first->second;
}

void RepeatBudget::request(const std::string &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Account &it = account(service);
    it.requests.count(now);
    it.requests.add(now);
}

bool RepeatBudget::take(const std::string &service, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    Account &it = account(service);
    const double fixed = m_terms.allowance * allowancePart / static_cast<double>(m_members);
    const double limit = m_terms.ratio * static_cast<double>(it.requests.count(now)) + fixed;
    if (static_cast<double>(it.repeats.count(now)) + 1 > limit) {
        return false;
    }
    it.repeats.add(now);
    return true;
}

} // namespace Guavalock

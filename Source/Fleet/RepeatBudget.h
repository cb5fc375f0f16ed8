#pragma once

#include "Fleet/SendWindow.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"

#include <cstddef>
#include <map>
#include <string>

namespace Guavalock
{

/// Limits how often requests are sent again, by service, to this daemon's part of a budget that all daemons share.
///
/// The part is a ratio of the daemon's own requests in the window, and an equal share of a fixed allowance. Rank Budgets.
class RepeatBudget
{
public:
    struct Terms {
        double ratio = 0; ///< Repeats for each request.
        double allowance = 0; ///< Repeats above that, of all daemons together.
        Clock::Duration window{};

        bool operator==(const Terms &) const = default;
    };

    explicit RepeatBudget(Terms terms);

    void setTerms(Terms terms);

    /// Sets among how many daemons the allowance is divided.
    void setMembers(std::size_t members);

    void request(const std::string &service, Clock::TimePoint now);

    /// Takes one repeat from the budget; returns false when it is spent.
    bool take(const std::string &service, Clock::TimePoint now);

private:
    struct Account {
        SendWindow requests;
        SendWindow repeats;
    };

    Account &account(const std::string &service);

    Terms m_terms;
    RankedMutex m_mutex{LockRank::Budgets};
    std::size_t m_members = 1;
    std::map<std::string, Account> m_accounts;
};

} // namespace Guavalock

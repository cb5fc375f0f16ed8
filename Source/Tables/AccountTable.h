#pragma once

#include "Decisions/BurnWindow.h"
#include "Decisions/StageAttemptOutcome.h"
#include "Kernel/RankedMutex.h"

#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// Cost of attempts and objective attainment of requests, for the reports. Lock rank: Accounts.
class AccountTable
{
public:
    struct Account {
        std::string organisation;
        std::string team;
        std::string pipeline;
        std::string stage;

        bool operator<(const Account &other) const;
    };

    struct Cost {
        std::size_t calls = 0; ///< Attempts that were answered.
        std::size_t wasted = 0; ///< Attempts that reached a target and were not answered.
        Clock::Duration targetTime{}; ///< Total duration of the answered attempts.
        Clock::Duration wastedTime{};
        std::size_t tokensIn = 0;
        std::size_t tokensOut = 0;
    };

    struct Usage {
        std::size_t tokensIn = 0;
        std::size_t tokensOut = 0;
    };

    struct CostRow {
        Account account;
        Cost cost;
    };

    struct BurnRow {
        std::string pipeline; ///< TEAM/NAME.
        BurnWindow::Counts shortWindowCounts;
        BurnWindow::Counts longWindowCounts;
    };

    static constexpr std::chrono::seconds shortWindowLength{300}; ///< The burn report prints its counts as "burn 5m".
    static constexpr std::chrono::seconds longWindowLength{3600}; ///< The burn report prints its counts as "1h".

    /// Records the cost of an attempt that reached a target; other attempts cost nothing.
    void recordAttempt(const Account &account, StageAttemptOutcome end, Clock::Duration duration, const Usage &usage);

    /// Records whether a request met its pipeline's objective.
    void recordRequest(const std::string &pipeline, bool met, Clock::TimePoint now);

    std::vector<CostRow> costs() const;
    std::vector<BurnRow> burn(Clock::TimePoint now) const;

private:
    mutable RankedMutex m_mutex{LockRank::Accounts};
    std::map<Account, Cost> m_costs;
    std::map<std::string, BurnWindow> m_burn;
};

} // namespace Guavalock

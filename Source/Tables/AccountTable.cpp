#include "Tables/AccountTable.h"

#include <tuple>

namespace Guavalock
{

namespace
{

bool reachedTarget(StageAttemptOutcome end)
{
    return end != StageAttemptOutcome::NotSent && end != StageAttemptOutcome::Withdrawn;
}

} // namespace

bool AccountTable::Account::operator<(const Account &other) const
{
    return std::tie(organisation, team, pipeline, stage) < std::tie(other.organisation, other.team, other.pipeline, other.stage);
}

void AccountTable::recordAttempt(const Account &account, StageAttemptOutcome end, Clock::Duration duration, const Usage &usage)
{
    if (!reachedTarget(end)) {
        return;
    }
    const std::scoped_lock lock(m_mutex);
    Cost &cost = m_costs[account];
    const bool answered = end == StageAttemptOutcome::Answered;
    (answered ? cost.calls : cost.wasted) += 1;
    (answered ? cost.targetTime : cost.wastedTime) += duration;
    cost.tokensIn += usage.tokensIn;
    cost.tokensOut += usage.tokensOut;
}

void AccountTable::recordRequest(const std::string &pipeline, bool met, Clock::TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    m_burn[pipeline].add(met, now);
}

std::vector<AccountTable::CostRow> AccountTable::costs() const
{
    std::vector<CostRow> rows;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[account, cost] : m_costs) {
        rows.push_back({account, cost});
    }
    return rows;
}

std::vector<AccountTable::BurnRow> AccountTable::burn(Clock::TimePoint now) const
{
    std::vector<BurnRow> rows;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[pipeline, window] : m_burn) {
        rows.push_back({pipeline, window.countsOver(shortWindowLength, now), window.countsOver(longWindowLength, now)});
    }
    return rows;
}

} // namespace Guavalock

#include "Pipeline/SlotAcquirer.h"

#include "Flow/OneShot.h"
#include "Tables/TargetTable.h"

namespace Guavalock
{

namespace Asio = boost::asio;

SlotAcquirer::SlotAcquirer(TargetTable &targets, const Clock &clock)
    : m_targets(targets)
    , m_clock(clock)
{
}

Asio::awaitable<std::variant<Slot, RefusalCause>> SlotAcquirer::acquire(std::string pool, const StageRequirements &requirements,
                                                                        Cancellation &cancellation)
{
    // A slot that is granted after the wait has ended is released at once.
    auto late = [&targets = m_targets, &clock = m_clock](const TargetTable::GrantResult &granted) {
        if (const Slot *slot = std::get_if<Slot>(&granted)) {
            targets.release(*slot, StageAttemptOutcome::Withdrawn, clock.now());
        }
    };
    const auto waiting = std::make_shared<OneShot<TargetTable::GrantResult>>(cancellation.strand(), late);
    auto grant = [waiting](TargetTable::GrantResult granted) {
        waiting->set(std::move(granted));
    };

    TargetTable::AcquireResult acquired = m_targets.acquire(pool, requirements, m_clock.now(), grant);
    if (Slot *slot = std::get_if<Slot>(&acquired)) {
        co_return std::move(*slot);
    }
    if (const RefusalCause *cause = std::get_if<RefusalCause>(&acquired)) {
        co_return *cause;
    }
    std::optional<TargetTable::GrantResult> granted = co_await waiting->wait(requirements.deadline, cancellation);
    if (granted) {
        co_return std::move(*granted);
    }
    m_targets.withdraw(pool, std::get<TargetTable::Ticket>(acquired));
    co_return cancellation.cause().value_or(RefusalCause::Overloaded);
}

} // namespace Guavalock

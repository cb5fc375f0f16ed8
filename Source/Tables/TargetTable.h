#pragma once

#include "Decisions/LoadReport.h"
#include "Decisions/RandomEngine.h"
#include "Decisions/RefusalCause.h"
#include "Decisions/StageAttemptOutcome.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Tables/Slot.h"
#include "Tables/TargetPool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Guavalock
{

struct Configuration;

/// All targets that this daemon may send to, and the calls that wait for them. Lock rank: Targets.
class TargetTable
{
public:
    using Ticket = SlotQueue::Ticket;

    /// The result for a queued call: a slot, or why it left the queue without one.
    using GrantResult = std::variant<Slot, RefusalCause>;

    /// Receives the result for a queued call. Called without the table's lock.
    using GrantHandler = std::function<void(GrantResult)>;

    /// An immediate slot, a ticket of the queue, or why the call was refused.
    using AcquireResult = std::variant<Slot, Ticket, RefusalCause>;

    /// A target that is due for a load probe.
    struct Probe {
        std::string pool;
        std::string target;
        Endpoint address;
    };

    /// One target in the form shown by the administration interface.
    struct Row {
        std::string pool;
        std::string target;
        std::string address;
        std::string dataCentre;
        std::string warmth;
        bool inService = true;
        std::size_t outstanding = 0;
        std::size_t limit = 0;
        std::string incarnation;
        Clock::Duration mean{};
    };

    TargetTable(TargetPool::DaemonLocation location, std::uint64_t seed);

    /// Applies a new configuration. The state of unchanged targets is kept.
    void applyConfiguration(const Configuration &configuration);

    /// Acquires a slot for a call, or queues the call. The handler is called only if a ticket is returned.
    AcquireResult acquire(const std::string &pool, const StageRequirements &requirements, Clock::TimePoint now, GrantHandler handler);

    /// Removes a call from the queue. Returns false when the call is no longer queued, so that its handler may still be called.
    bool withdraw(const std::string &pool, Ticket ticket);

    /// Releases a slot and grants free slots to queued calls.
    void release(const Slot &slot, StageAttemptOutcome end, Clock::TimePoint now);

    /// Called, without the table's lock, for each report that changed a target's incarnation or warmth.
    using Observer = std::function<void(const std::string &pool, const std::string &target, const LoadReport &report)>;

    /// Sets the observer. Call before the table is used.
    void setObserver(Observer observer);

    /// Applies a load report that this daemon received from a target. Returns whether the target's incarnation or warmth changed.
    bool applyReport(const std::string &pool, const std::string &target, const LoadReport &report, Clock::TimePoint now);

    /// Applies a load report that another daemon forwarded. Returns the same, but does not call the observer.
    bool applyPeerReport(const std::string &pool, const std::string &target, const LoadReport &report, Clock::TimePoint now);

    void probeFailed(const std::string &pool, const std::string &target, Clock::TimePoint now);

    /// Returns the targets that are due for a probe, those in the unknown state first.
    std::vector<Probe> dueProbes(Clock::TimePoint now, Clock::Duration reportLifetime) const;

    /// Grants slots that have become available through the passage of time, and refuses queued calls that can no longer be answered in
    /// time.
    void dispatchWaiting(Clock::TimePoint now);

    bool retryAllowed(const std::string &pool) const;
    void spendRetryToken(const std::string &pool);

    /// Returns a low estimate of the duration of calls to a pool; zero when not known.
    Clock::Duration bestCaseDuration(const std::string &pool) const;

    /// Returns the pools with at least one usable target.
    std::set<std::string> usablePools(Clock::TimePoint now) const;

    std::vector<Row> rows() const;

private:
    using PendingGrants = std::vector<std::pair<GrantHandler, GrantResult>>;

    Slot makeSlot(const std::string &name, TargetPool &pool, std::size_t index, bool suspect, Clock::TimePoint now) const;
    void dispatchQueued(const std::string &name, TargetPool &pool, Clock::TimePoint now, PendingGrants &pendingGrants);
    GrantHandler extractHandler(Ticket ticket);
    static void deliverGrants(PendingGrants &pendingGrants);

    TargetPool::DaemonLocation m_location;
    Observer m_observer;
    mutable RankedMutex m_mutex{LockRank::Targets};
    RandomEngine m_random;
    std::map<std::string, std::unique_ptr<TargetPool>> m_pools;
    std::map<Ticket, GrantHandler> m_grantHandlers;
    Ticket m_lastTicket = 0;
};

} // namespace Guavalock

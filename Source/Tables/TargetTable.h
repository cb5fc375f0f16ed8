#pragma once

#include "Decisions/AttemptEnd.h"
#include "Decisions/LoadReport.h"
#include "Decisions/RandomEngine.h"
#include "Decisions/RefusalCause.h"
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

/// Every target that this daemon may send to, and the calls that wait for them. Rank Targets.
class TargetTable
{
public:
    using Ticket = SlotQueue::Ticket;

    /// What a call that waited gets: a slot, or why it waits no longer.
    using Granted = std::variant<Slot, RefusalCause>;

    /// Hands a slot or a refusal to a call that waited. Called without the table's lock.
    using Grant = std::function<void(Granted)>;

    /// A slot at once, a ticket in the queue, or why there will be neither.
    using Acquired = std::variant<Slot, Ticket, RefusalCause>;

    /// A target that is due to be asked for its load.
    struct Probe {
        std::string pool;
        std::string target;
        Endpoint address;
    };

    /// One target as the administration interface shows it.
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

    TargetTable(TargetPool::Place place, std::uint64_t seed);

    void adopt(const Configuration &configuration);

    /// Asks for a slot for a call that has to end by a time.
    Acquired acquire(const std::string &pool, const StageDemand &demand, Clock::TimePoint now, Grant grant);

    /// Leaves the queue. Returns false when the slot has been granted already.
    bool withdraw(const std::string &pool, Ticket ticket);

    /// Gives a slot back and passes it on to a waiting call.
    void release(const Slot &slot, AttemptEnd end, Clock::TimePoint now);

    /// Is told, without the table's lock, of each report that changed what was known of a target.
    using Observer = std::function<void(const std::string &pool, const std::string &target, const LoadReport &report)>;

    /// Sets the observer. Call before the table is used.
    void setObserver(Observer observer);

    /// Takes over what a target says of itself. Returns true when its incarnation or warmth changed.
    bool reported(const std::string &pool, const std::string &target, const LoadReport &report, Clock::TimePoint now);

    /// As reported, for a report that a neighbour passed on; the observer is not told.
    bool learned(const std::string &pool, const std::string &target, const LoadReport &report, Clock::TimePoint now);

    void probeFailed(const std::string &pool, const std::string &target, Clock::TimePoint now);

    /// Returns the targets that are due to be asked, those never heard from first.
    std::vector<Probe> dueProbes(Clock::TimePoint now, Clock::Duration reportLife) const;

    /// Hands out slots that became free with time alone.
    void serveWaiting(Clock::TimePoint now);

    bool retryAllowed(const std::string &pool) const;
    void spendRetry(const std::string &pool);

    /// Returns the shortest time that calls to a pool are seen to take; zero when not known.
    Clock::Duration bestDuration(const std::string &pool) const;

    /// Returns the pools with a target that may be given work here.
    std::set<std::string> usablePools(Clock::TimePoint now) const;

    std::vector<Row> rows() const;

private:
    using HandOuts = std::vector<std::pair<Grant, Granted>>;

    Slot slotOf(const std::string &name, TargetPool &pool, std::size_t index, bool suspect, Clock::TimePoint now) const;
    void serve(const std::string &name, TargetPool &pool, Clock::TimePoint now, HandOuts &handOuts);
    Grant takeGrant(Ticket ticket);
    static void handOut(HandOuts &handOuts);

    TargetPool::Place m_place;
    Observer m_observer;
    mutable RankedMutex m_mutex{LockRank::Targets};
    RandomEngine m_random;
    std::map<std::string, std::unique_ptr<TargetPool>> m_pools;
    std::map<Ticket, Grant> m_grants;
    Ticket m_lastTicket = 0;
};

} // namespace Guavalock

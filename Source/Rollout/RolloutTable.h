#pragma once

#include "Fleet/VersionFilter.h"
#include "Kernel/RankedMutex.h"
#include "Rollout/AttemptLedger.h"
#include "Rollout/RolloutGate.h"
#include "Rollout/RolloutLimits.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

class Counter;
class Metrics;
struct RolloutEvidence;

/// The orders that this daemon knows, what it has sent under them and what it has seen. Lock rank: Rollouts.
class RolloutTable : public VersionFilter
{
public:
    /// A version that appears while no order names it is used only if there is no other, for this long. Its targets may be known before the
    /// order that permits them: the records of orders take up to 1.2 s for each daemon on their way.
    static constexpr std::chrono::milliseconds confirmationTime{2'500};

    /// An order with what is known of it.
    struct Order {
        RolloutOrder order;
        Clock::TimePoint start;
        std::optional<RolloutStatus> status; ///< As last read from the store.
        bool isWithdrawn = false; ///< Whether this daemon uses the version no more.
        bool isStatusLost = false; ///< Whether the store may lack the status.
    };

    RolloutTable(std::optional<RolloutLimits> limits, Metrics &metrics);
    ~RolloutTable() override;

    /// Applies an order of the operator, or its deletion. Without limits, orders are ignored with a log line.
    void applyOrder(const RolloutOrder &order, Clock::TimePoint now);

    /// Applies a status record, or its deletion if it is empty.
    void applyStatus(const std::string &service, const std::optional<RolloutStatus> &status);

    /// The store may lack the status records. They still hold, and are to be written again.
    void markStatusesLost();

    void applyState(const RolloutState &state, Clock::TimePoint now);

    /// Another daemon knows the order since an earlier time.
    void learnStart(const std::string &service, const std::string &version, Clock::TimePoint start);

    /// Returns the orders that have not been deleted, and one with an empty version for each service without an order whose status is not
    /// final or may be lost.
    std::vector<Order> orders() const;

    /// Returns the share of the new version that a coordinator has stated and that is still in use, or zero.
    double confirmedShare(const std::string &service, Clock::TimePoint now) const;

    /// Returns what this daemon has seen, without the fields that identify it.
    RolloutEvidence evidence(const std::string &service, Clock::TimePoint now) const;

    VersionPlan plan(const TargetRequirements &requirements, Clock::TimePoint now) override;
    std::uint64_t recordSend(const Attempt &attempt, Clock::TimePoint now) override;
    void recordResponseStart(std::uint64_t attempt, Clock::TimePoint now) override;
    void recordEnd(std::uint64_t attempt, AttemptReport::Outcome outcome, Clock::TimePoint now) override;
    void recordVersion(const std::string &service, const std::string &version, Clock::TimePoint now) override;

private:
    struct Service {
        explicit Service(const RolloutLimits &limits)
            : gate(limits)
        {
        }

        RolloutGate gate;
        AttemptLedger ledger;
        std::optional<RolloutStatus> status;
        bool isStatusLost = false;
    };

    Service &service(const std::string &name);
    Counter &counter(const std::string &name, const std::string &service, bool isNew);

    std::optional<RolloutLimits> m_limits;
    Metrics &m_metrics;
    mutable RankedMutex m_mutex{LockRank::Rollouts};
    std::map<std::string, Service> m_services; ///< Those with an order or a status.
    std::map<std::string, std::map<std::string, Clock::TimePoint>> m_versions; ///< When each version of each service was first known.
    std::map<std::uint64_t, std::string> m_attempts; ///< Services of the attempts in progress.
    std::uint64_t m_lastAttempt = 0;
};

} // namespace Guavalock

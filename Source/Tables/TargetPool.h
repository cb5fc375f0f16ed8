#pragma once

#include "Decisions/RandomEngine.h"
#include "Decisions/RetryBudget.h"
#include "Decisions/SlotQueue.h"
#include "Decisions/TargetState.h"
#include "Policies/PoolView.h"
#include "Settings/PoolSettings.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

class RoutingPolicy;
struct Configuration;

/// The targets of one pool that are in this daemon's data centre, and the calls that wait for them.
///
/// Not safe for use from several threads; TargetTable locks around it.
class TargetPool : public PoolView
{
public:
    struct Member {
        TargetSettings settings;
        std::uint64_t identity = 0;
        TargetState state;
    };

    /// Which part of the deployment this daemon is.
    struct Place {
        std::string vm;
        std::string dataCentre;
        std::vector<std::string> neighbours; ///< The daemons of the data centre, this one included.
    };

    TargetPool();
    ~TargetPool() override;

    /// Takes over new settings. Targets that stay keep what is known of them.
    void adopt(const PoolSettings &settings, const Configuration &configuration, const Place &place);

    /// Chooses a target for a call and counts the call there; returns its index, or nothing when none has room.
    std::optional<std::size_t> choose(const StageDemand &demand, Clock::TimePoint now, RandomEngine &random);

    /// Returns whether any target is, or after its first report may be, fit for new work.
    bool promising(Clock::TimePoint now) const;

    /// Returns whether targets exist here but all are out of service.
    bool allOut() const;

    /// Returns how long a call that joins the queue now waits, at the present rate.
    Clock::Duration queueWait(Clock::TimePoint now) const;

    Member *find(const std::string &target);
    std::vector<Member> &members();
    const PoolSettings &settings() const;
    SlotQueue &queue();
    RetryBudget &retryBudget();
    const DurationEstimate &durations() const;
    void observe(Clock::Duration took);

    std::size_t size() const override;
    bool hasRoom(std::size_t index) const override;
    std::size_t outstanding(std::size_t index) const override;
    Clock::Duration predicted(std::size_t index) const override;
    bool warming(std::size_t index) const override;
    std::uint64_t identity(std::size_t index) const override;

private:
    PoolSettings m_settings;
    std::vector<Member> m_members;
    std::unique_ptr<RoutingPolicy> m_policy;
    SlotQueue m_queue;
    RetryBudget m_retryBudget;
    DurationEstimate m_durations;
    Clock::TimePoint m_now{}; ///< The time of the choice under way.
    const StageDemand *m_demand = nullptr; ///< Of the choice under way.
    bool m_avoiding = false; ///< Whether targets that failed the stage before are passed over.
};

} // namespace Guavalock

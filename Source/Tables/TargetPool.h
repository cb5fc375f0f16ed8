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

/// The targets of one pool in this daemon's data centre, and the queue of calls that wait for them.
///
/// Not thread-safe; protected by the lock of TargetTable.
class TargetPool : public PoolView
{
public:
    struct Member {
        TargetSettings settings;
        std::uint64_t nameHash = 0;
        TargetState state;
    };

    /// Where this daemon runs in the deployment.
    struct DaemonLocation {
        std::string vm;
        std::string dataCentre;
        std::vector<std::string> localDaemons; ///< All daemons of the data centre, this one included.
    };

    TargetPool();
    ~TargetPool() override;

    /// Applies new settings. Targets whose name and address are unchanged keep their state.
    void applySettings(const PoolSettings &settings, const Configuration &configuration, const DaemonLocation &location);

    /// Chooses a target for a call and records the dispatch. Returns the target's index, or nothing when none has capacity.
    std::optional<std::size_t> choose(const StageRequirements &requirements, Clock::TimePoint now, RandomEngine &random);

    /// Returns whether any target is usable, or may become so with a report that is still expected.
    bool anyPotentiallyUsable(Clock::TimePoint now) const;

    /// Returns whether the pool has targets here and all of them are out of service.
    bool allOutOfService() const;

    /// Returns the estimated wait of a call that joins the queue now; zero when no target is usable.
    Clock::Duration estimatedQueueWait(Clock::TimePoint now) const;

    Member *find(const std::string &target);
    std::vector<Member> &members();
    const PoolSettings &settings() const;
    SlotQueue &queue();
    RetryBudget &retryBudget();
    const DurationEstimate &durations() const;
    void recordDuration(Clock::Duration duration);

    std::size_t size() const override;
    bool hasCapacity(std::size_t index) const override;
    std::size_t outstanding(std::size_t index) const override;
    Clock::Duration predictedDuration(std::size_t index) const override;
    bool isWarmingUp(std::size_t index) const override;
    std::uint64_t nameHash(std::size_t index) const override;

private:
    PoolSettings m_settings;
    std::vector<Member> m_members;
    std::unique_ptr<RoutingPolicy> m_policy;
    SlotQueue m_queue;
    RetryBudget m_retryBudget;
    DurationEstimate m_durations;
    Clock::TimePoint m_choiceTime{}; ///< Time of the current choice.
    const StageRequirements *m_choiceRequirements = nullptr; ///< Requirements of the current choice.
    bool m_skipAvoided = false; ///< Whether the current choice skips targets that already failed the stage.
};

} // namespace Guavalock

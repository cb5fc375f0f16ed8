#pragma once

#include "Decisions/RandomEngine.h"
#include "Decisions/WaitingTurns.h"
#include "Fleet/FleetTarget.h"
#include "Fleet/LimitReport.h"
#include "Fleet/PlacementCandidate.h"
#include "Fleet/SelectedTarget.h"
#include "Fleet/TargetRequirements.h"
#include "Kernel/RankedMutex.h"
#include "Kernel/Reason.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

class TargetChooser;
class VersionFilter;
struct VersionPlan;
struct AvailabilityStatement;
struct ServiceRecord;

/// The targets known to this daemon, with their availability and load. Lock rank: Targets.
class FleetTable
{
public:
    /// What the targets of one version of a service could carry.
    struct VersionCapacity {
        std::size_t targets = 0; ///< Known, whatever their state.
        std::size_t otherTargets = 0; ///< Of other versions.
        double slots = 0; ///< Of the targets that are available and warm, in requests.
    };

    explicit FleetTable(std::string vm);
    ~FleetTable();

    /// Sets what decides between the versions of a service. Must be called before the first use; without it, all versions are used.
    void setVersionFilter(VersionFilter &filter);

    VersionCapacity versionCapacity(const std::string &service, const std::string &version, Clock::TimePoint now) const;

    /// Adds a target or applies its record if that is newer. Returns whether the target is new or its state, address or start time has
    /// changed.
    bool update(const TargetRecord &record, RecordPosition position, Clock::TimePoint now);

    /// Removes a target unless its record is newer than the position. Returns whether it was removed.
    bool remove(const std::string &id, RecordPosition position);

    /// Marks a target whose record is missing after an outage of the store. Until the given time, it is selected only if no other target
    /// is available.
    void markMissing(const std::string &id, Clock::TimePoint until);

    /// Stops or resumes the use of a data centre. When use resumes, its targets count as cold.
    void setEvacuated(const std::string &dataCentre, bool evacuated, Clock::TimePoint now);

    /// Sets the daemons among which the request rates of cold targets and of targets that limit their requests are divided. While the list
    /// is empty, because the other daemons are not known yet, nothing is sent to such targets.
    void setSenders(std::vector<std::string> members);

    /// Marks all targets as cold for a limited time, because their state may be outdated, for example after the machine was suspended.
    void markAllCold(Clock::TimePoint now);

    /// Selects a target and counts one request as sent to it. Returns nothing, with a reason, if no target is available.
    std::optional<SelectedTarget> choose(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now,
                                         Reason &reason);

    /// Returns the data centre of the target that `choose` would probably select, or an empty string if no target is available.
    std::string predictDataCentre(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now);

    /// The target has started to respond, so the prompt tokens no longer count towards its load.
    void recordResponseStart(const std::string &id, std::size_t promptTokens);
    /// The response to an attempt that is observed has started.
    void recordFirstByte(std::uint64_t attempt, Clock::TimePoint now);

    /// Applies the outcome of an attempt. After a connection failure the target counts as cold for the given time.
    void recordAttempt(const std::string &id, const AttemptReport &report, Clock::Duration coldTime, Clock::TimePoint now);

    /// Records what a target states about further requests. Returns whether its availability changes. Unlike records and reports,
    /// statements outlive the target's record, so that a record that is read again does not bring a leaving target back.
    bool recordStatement(const SelectedTarget &target, const AvailabilityStatement &statement, Clock::TimePoint now);

    /// Sets a handler that is called, without the lock, when a target has stated something that other daemons should know. Must be set
    /// before the first use.
    void onNews(std::function<void()> handler);

    /// Returns the limits that targets have stated to this daemon, or changed or lifted, since the last call.
    std::vector<LimitReport> takeLimitNews();

    /// Returns all limits that targets have stated, and those that were lifted, so that a daemon with an old limit learns of it.
    std::vector<LimitReport> limitSnapshot() const;

    /// Merges the limits that were stated to another daemon. Returns those that were new.
    std::vector<LimitReport> mergeLimits(const std::vector<LimitReport> &reports, Clock::TimePoint now);

    /// Returns whether a target has stated a limit of its requests.
    bool isLimited(const std::string &id) const;

    /// Returns whether this daemon may send a call to a target of a stage service that it batches for all daemons, within the limit that
    /// the target has stated.
    bool mayCall(const std::string &id, Clock::TimePoint now);

    /// Counts a call that frees results of a stage service as sent.
    void recordCall(const std::string &id, Clock::TimePoint now);

    /// Counts a call with pieces for a stage service as sent.
    void recordBatch(const std::string &id, Clock::TimePoint now);

    /// Returns the calls per second that the available targets of a stage service take if each takes the given time. Suspect targets don't
    /// count.
    double callRate(const std::string &service, Clock::Duration callTime, Clock::TimePoint now);

    /// Adds a request that waits for its turn at targets that limit their requests, so that less urgent ones come after it.
    void joinWaiting(const TargetRequirements &requirements);

    void leaveWaiting(const TargetRequirements &requirements);

    /// Returns whether a target is known and has not stated that it leaves or wants a pause.
    bool isAvailable(const std::string &id, Clock::TimePoint now) const;

    /// Returns whether the targets of a service take no request of this daemon because of their own statements: the time until the first
    /// pause ends or, where limits bind, the request's turn would come; the maximum duration if all targets leave or this daemon has no
    /// share of their limits. Returns nothing if a target may become available for another reason.
    std::optional<Clock::Duration> timeUntilAvailable(const TargetRequirements &requirements, Clock::TimePoint now);

    /// Returns the targets of a stage service that can be sent a batch. Targets with a missing record are returned only if there are no
    /// others.
    std::vector<SelectedTarget> availableTargets(const std::string &service, Clock::TimePoint now);

    /// Returns the targets of a model service for placement by this daemon for others. Cold targets and those that limit their requests are
    /// not usable: their rates are divided among the daemons, which select them on their own.
    std::vector<PlacementCandidate> placementCandidates(const ServiceRecord &service, Clock::TimePoint now);

    /// Returns the target with the given address. Stage results are identified by the address of the target that holds them.
    std::optional<SelectedTarget> findByAddress(const Endpoint &address);

    std::size_t size() const;

private:
    /// Selects a target without counting a request. The lock must be held.
    FleetTarget *selectTarget(const TargetRequirements &requirements, const ServiceRecord &service, Clock::TimePoint now, Reason &reason);

    /// Returns the versions that a request may be sent to.
    VersionPlan versionPlan(const TargetRequirements &requirements, Clock::TimePoint now) const;

    /// Reduces the targets of a new version to as many as carry its share at the load of the others. All daemons keep the same ones.
    static void concentrate(std::vector<FleetTarget *> &targets, const VersionPlan &plan, std::size_t others);

    /// Returns whether the target accepts work and neither the plan nor the cold request rate excludes it.
    bool isUsable(FleetTarget &target, const VersionPlan &plan, const ServiceRecord &service, Clock::TimePoint now) const;

    /// Returns whether the target accepts work: the target neither is draining nor has stated that it leaves or wants a pause, and its data
    /// centre is not evacuated.
    bool acceptsWork(const FleetTarget &target, Clock::TimePoint now) const;

    /// Returns whether records let the target be used: neither the target is draining nor its data centre evacuated.
    bool isInService(const FleetTarget &target) const;

    /// Returns the remembered availability of a target without a record.
    TargetAvailability &unlistedAvailability(const std::string &id, std::chrono::milliseconds startTime);

    /// Returns whether this daemon may send the target one more request within its share of the cold request rate. Always true for warm
    /// targets.
    bool withinColdRate(FleetTarget &target, const ServiceRecord &service, Clock::TimePoint now) const;

    /// Returns the target's limit with the daemon's current share.
    RequestLimit &sharedLimit(FleetTarget &target, Clock::TimePoint now);

    /// Returns how many targets could be sent a request now, beyond those for the waiting requests that come before this one.
    std::size_t limitedTurns(const TargetRequirements &requirements, Clock::TimePoint now);

    FleetTarget *chooseAmong(const std::vector<FleetTarget *> &targets, const TargetRequirements &requirements, Clock::TimePoint now);

    /// Keeps what other daemons should know of the target's limit. Returns whether there is anything.
    bool addLimitNews(const std::string &id, TargetAvailability &availability);

    /// The requests per second that this daemon may send to a cold target.
    struct ColdQuota {
        double rate = 0; ///< Of all daemons together, from which the quota was calculated.
        std::size_t requests = 0;
    };

    /// The share of a target's limit that this daemon may use.
    struct SharedLimit {
        double limit = 0; ///< From which the share was calculated.
        LimitShare share;
    };

    std::string m_vm;
    mutable RankedMutex m_mutex{LockRank::Targets};
    std::map<std::string, FleetTarget> m_targets;
    std::map<std::string, TargetAvailability> m_unlisted; ///< Statements of targets whose record was removed.
    std::deque<std::string> m_unlistedOrder; ///< Keys of the above, oldest first.
    std::set<std::string> m_evacuated;
    std::vector<std::string> m_senders;
    mutable std::map<std::string, ColdQuota> m_coldQuotas; ///< By target, for the current members.
    std::map<std::string, SharedLimit> m_limitShares; ///< By target, for the current members.
    std::map<std::string, LimitReport> m_limitNews; ///< By target.
    std::map<std::string, WaitingTurns> m_waiting; ///< By service.
    std::function<void()> m_onNews;
    VersionFilter *m_versions = nullptr;
    std::map<std::string, std::uint64_t> m_calls; ///< Attempt numbers of calls to stage services in progress, by target.
    std::map<std::string, std::unique_ptr<TargetChooser>> m_choosers;
    RandomEngine m_random;
};

} // namespace Guavalock

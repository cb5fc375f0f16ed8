#pragma once

#include "Decisions/RandomEngine.h"
#include "Fleet/TargetBelief.h"
#include "Fleet/TargetDemand.h"
#include "Fleet/TargetPick.h"
#include "Kernel/RankedMutex.h"
#include "Kernel/Reason.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

class TargetChooser;
struct ServiceRecord;

/// The targets known to this daemon, and who of them may be sent to. Rank Targets.
class FleetTable
{
public:
    explicit FleetTable(std::string vm);
    ~FleetTable();

    /// Takes a target's record over, if it is newer. Returns whether the target's state or start has changed.
    bool renew(const TargetRecord &record, std::uint64_t offset, Clock::TimePoint now);

    /// Forgets a target. Returns whether it was known.
    bool remove(const std::string &id, std::uint64_t offset);

    /// A target's record is missing after an outage of the store. Until a time, it is used only where there is no other.
    void miss(const std::string &id, Clock::TimePoint until);

    /// Stops or resumes the use of a data centre. Its targets count as cold when it returns.
    void setEvacuated(const std::string &dataCentre, bool evacuated, Clock::TimePoint now);

    /// Sets the daemons among which the rates of cold targets are divided; empty while the others are not known.
    void setColdSenders(std::vector<std::string> members);

    /// Everything known of targets may have changed meanwhile, as after a pause of the process: all count as cold for a time.
    void doubtAll(Clock::TimePoint now);

    /// Chooses a target and counts one request as sent there. Returns nothing, with a reason, when none may be sent to.
    std::optional<TargetPick> choose(const TargetDemand &demand, const ServiceRecord &service, Clock::TimePoint now, Reason &reason);

    /// Returns the data centre of the target that choose would probably take, or nothing.
    std::string likelyDataCentre(const TargetDemand &demand, const ServiceRecord &service, Clock::TimePoint now);

    void began(const std::string &id, std::size_t promptTokens);
    void ended(const std::string &id, const TargetReport &report, Clock::Duration coldTime, Clock::TimePoint now);

    /// Returns the targets of a stage service that may be given a batch; those whose record is missing only if there are no others.
    std::vector<TargetPick> usable(const std::string &service, Clock::TimePoint now);

    /// Returns the target at an address, for results that are known by the address of their maker.
    std::optional<TargetPick> at(const Endpoint &address);

    std::size_t size() const;

private:
    /// As choose, with the lock held and nothing counted.
    TargetBelief *find(const TargetDemand &demand, const ServiceRecord &service, Clock::TimePoint now, Reason &reason);

    /// Returns whether the operators and the target itself allow work to be sent there.
    bool open(const TargetBelief &target) const;

    /// Returns whether a cold target may be sent one more request by this daemon.
    bool coldRoom(TargetBelief &target, const ServiceRecord &service, Clock::TimePoint now) const;

    std::string m_vm;
    mutable RankedMutex m_mutex{LockRank::Targets};
    std::map<std::string, TargetBelief> m_targets;
    std::set<std::string> m_evacuated;
    std::vector<std::string> m_coldSenders;
    std::map<std::string, std::unique_ptr<TargetChooser>> m_choosers;
    RandomEngine m_random;
};

} // namespace Guavalock

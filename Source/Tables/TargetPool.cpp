#include "Tables/TargetPool.h"

#include "Decisions/ColdShare.h"
#include "Decisions/Hash.h"
#include "Kernel/Registry.h"
#include "Policies/RoutingPolicy.h"
#include "Settings/Configuration.h"

#include <algorithm>

namespace Guavalock
{

TargetPool::TargetPool() = default;
TargetPool::~TargetPool() = default;

void TargetPool::applySettings(const PoolSettings &settings, const Configuration &configuration, const DaemonLocation &location)
{
    if (!m_policy || settings.policy != m_settings.policy) {
        m_policy = Registry<RoutingPolicy>::instance().create(settings.policy);
    }
    const bool dataCentreOut = configuration.dataCentresOut.contains(location.dataCentre);
    std::vector<Member> members;
    for (const TargetSettings &it : settings.targets) {
        if (it.dataCentre != location.dataCentre) {
            continue;
        }
        Member member{it, Hash::of(it.name), {}};
        const Member *previous = find(it.name);
        if (previous != nullptr && previous->settings.address == it.address) {
            member.state = previous->state;
        }
        const std::size_t coldShare = ColdShare::of(it.name, it.coldSlots, location.vm, location.localDaemons);
        const std::size_t daemonCount = location.localDaemons.size();
        member.state.setShares(coldShare, (it.slots + daemonCount - 1) / daemonCount, it.coldSlots);
        member.state.setInService(!dataCentreOut && !configuration.targetsOut.contains(it.name));
        members.push_back(std::move(member));
    }
    m_members = std::move(members);
    m_settings = settings;
}

std::optional<std::size_t> TargetPool::choose(const StageRequirements &requirements, Clock::TimePoint now, RandomEngine &random)
{
    m_choiceTime = now;
    m_choiceRequirements = &requirements;
    m_skipAvoided = !requirements.avoidedTargets.empty();
    std::optional<std::size_t> index = m_policy->choose(*this, requirements, random);
    if (!index && m_skipAvoided) {
        m_skipAvoided = false;
        index = m_policy->choose(*this, requirements, random);
    }
    if (index) {
        m_members[*index].state.recordDispatch(requirements.suspect);
    }
    return index;
}

bool TargetPool::anyPotentiallyUsable(Clock::TimePoint now) const
{
    return std::ranges::any_of(m_members, [now](const Member &it) { return it.state.potentiallyUsable(now); });
}

bool TargetPool::allOutOfService() const
{
    return !m_members.empty() && std::ranges::none_of(m_members, [](const Member &it) { return it.state.inService(); });
}

Clock::Duration TargetPool::estimatedQueueWait(Clock::TimePoint now) const
{
    std::size_t slots = 0;
    for (const Member &it : m_members) {
        slots += it.state.usable(now) ? it.state.limit() : 0;
    }
    if (slots == 0) {
        return {};
    }
    return m_durations.mean() * (m_queue.size() / slots);
}

TargetPool::Member *TargetPool::find(const std::string &target)
{
    const auto it = std::ranges::find(m_members, target, [](const Member &member) -> const std::string & { return member.settings.name; });
    return it == m_members.end() ? nullptr : &*it;
}

std::vector<TargetPool::Member> &TargetPool::members()
{
    return m_members;
}

const PoolSettings &TargetPool::settings() const
{
    return m_settings;
}

SlotQueue &TargetPool::queue()
{
    return m_queue;
}

RetryBudget &TargetPool::retryBudget()
{
    return m_retryBudget;
}

const DurationEstimate &TargetPool::durations() const
{
    return m_durations;
}

void TargetPool::recordDuration(Clock::Duration duration)
{
    m_durations.observe(duration);
}

std::size_t TargetPool::size() const
{
    return m_members.size();
}

bool TargetPool::hasCapacity(std::size_t index) const
{
    const Member &member = m_members[index];
    const bool avoided = m_skipAvoided
        && std::ranges::find(m_choiceRequirements->avoidedTargets, member.nameHash) != m_choiceRequirements->avoidedTargets.end();
    return !avoided && member.state.hasCapacity(m_choiceRequirements->suspect, m_choiceTime);
}

std::size_t TargetPool::outstanding(std::size_t index) const
{
    return m_members[index].state.outstanding();
}

Clock::Duration TargetPool::predictedDuration(std::size_t index) const
{
    const Member &member = m_members[index];
    return member.state.predictedDuration(member.settings.slots, m_durations.lowPercentile(), m_choiceTime);
}

bool TargetPool::isWarmingUp(std::size_t index) const
{
    const TargetState &state = m_members[index].state;
    return state.warmth() != TargetState::Warmth::Warm || state.limit() < state.warmShare();
}

std::uint64_t TargetPool::nameHash(std::size_t index) const
{
    return m_members[index].nameHash;
}

} // namespace Guavalock

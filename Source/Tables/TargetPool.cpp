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

void TargetPool::adopt(const PoolSettings &settings, const Configuration &configuration, const Place &place)
{
    if (!m_policy || settings.policy != m_settings.policy) {
        m_policy = Registry<RoutingPolicy>::instance().create(settings.policy);
    }
    const bool centreOut = configuration.dataCentresOut.contains(place.dataCentre);
    std::vector<Member> members;
    for (const TargetSettings &it : settings.targets) {
        if (it.dataCentre != place.dataCentre) {
            continue;
        }
        Member member{it, Hash::of(it.name), {}};
        const Member *known = find(it.name);
        if (known != nullptr && known->settings.address == it.address) {
            member.state = known->state;
        }
        const std::size_t cold = ColdShare::of(it.name, it.coldSlots, place.vm, place.neighbours);
        const std::size_t senders = place.neighbours.size();
        member.state.setShares(cold, (it.slots + senders - 1) / senders, it.coldSlots);
        member.state.setInService(!centreOut && !configuration.targetsOut.contains(it.name));
        members.push_back(std::move(member));
    }
    m_members = std::move(members);
    m_settings = settings;
}

std::optional<std::size_t> TargetPool::choose(const StageDemand &demand, Clock::TimePoint now, RandomEngine &random)
{
    m_now = now;
    m_demand = &demand;
    m_avoiding = !demand.avoid.empty();
    std::optional<std::size_t> index = m_policy->choose(*this, demand, random);
    if (!index && m_avoiding) {
        m_avoiding = false;
        index = m_policy->choose(*this, demand, random);
    }
    if (index) {
        m_members[*index].state.dispatched(demand.suspect);
    }
    return index;
}

bool TargetPool::promising(Clock::TimePoint now) const
{
    return std::ranges::any_of(m_members, [now](const Member &it) { return it.state.promising(now); });
}

bool TargetPool::allOut() const
{
    return !m_members.empty() && std::ranges::none_of(m_members, [](const Member &it) { return it.state.inService(); });
}

Clock::Duration TargetPool::queueWait(Clock::TimePoint now) const
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

void TargetPool::observe(Clock::Duration took)
{
    m_durations.observe(took);
}

std::size_t TargetPool::size() const
{
    return m_members.size();
}

bool TargetPool::hasRoom(std::size_t index) const
{
    const Member &member = m_members[index];
    const bool avoided = m_avoiding && std::ranges::find(m_demand->avoid, member.identity) != m_demand->avoid.end();
    return !avoided && member.state.hasRoom(m_demand->suspect, m_now);
}

std::size_t TargetPool::outstanding(std::size_t index) const
{
    return m_members[index].state.outstanding();
}

Clock::Duration TargetPool::predicted(std::size_t index) const
{
    const Member &member = m_members[index];
    return member.state.predicted(member.settings.slots, m_durations.low(), m_now);
}

bool TargetPool::warming(std::size_t index) const
{
    const TargetState &state = m_members[index].state;
    return state.warmth() != TargetState::Warmth::Warm || state.limit() < state.warmShare();
}

std::uint64_t TargetPool::identity(std::size_t index) const
{
    return m_members[index].identity;
}

} // namespace Guavalock
